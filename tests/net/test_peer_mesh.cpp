#include "net/mesh_frame.h"
#include "net/peer_mesh.h"
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

using namespace arbutus;
using namespace arbutus::net;

namespace {

const std::string Key = "0123456789abcdef";

/// Polls until the condition holds; false after a deadline that only a broken
/// build reaches.
bool eventually(const std::function<bool()> &Condition) {
  const auto Deadline = monotonic_clock::now() + 30s;
  while (!Condition()) {
    if (monotonic_clock::now() > Deadline) {
      return false;
    }
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

struct received_frame {
  node_id From;
  incarnation Incarnation;
  message_kind Kind;
  std::string Payload;
};

/// A mesh on a port chosen by the system that records what it receives.
struct test_node {
  explicit test_node(std::uint32_t Id, std::uint64_t Life = 1,
                     const std::function<void(mesh_options &)> &Adjust = {}) {
    mesh_options Options;
    Options.Self = node_id{Id};
    Options.Incarnation = incarnation{Life};
    Options.Listen = "127.0.0.1:0";
    Options.FleetKey = Key;
    Options.AllowFaultInjection = true;
    if (Adjust) {
      Adjust(Options);
    }
    Mesh = std::make_unique<peer_mesh>(
        Options, [this](node_id From, incarnation Incarnation,
                        message_kind Kind, std::string Payload) {
          const std::lock_guard Lock(Mutex);
          Frames.push_back({From, Incarnation, Kind, std::move(Payload)});
        });
  }

  [[nodiscard]] std::size_t count() {
    const std::lock_guard Lock(Mutex);
    return Frames.size();
  }
  [[nodiscard]] std::uint64_t drops(mesh_drop Drop) const {
    return Mesh->counters().of(Drop);
  }
  void dial(const std::vector<std::pair<std::uint32_t, const test_node *>>
                &Others) const {
    std::vector<mesh_peer> Peers;
    Peers.reserve(Others.size());
    for (const auto &[Id, Other] : Others) {
      Peers.push_back({node_id{Id}, Other->Mesh->address()});
    }
    Mesh->setPeers(Peers);
  }

  std::mutex Mutex;
  std::vector<received_frame> Frames;
  std::unique_ptr<peer_mesh> Mesh;
};

/// A TCP listener whose process never reads, like a stopped one.
struct silent_listener {
  silent_listener() {
    Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    REQUIRE(bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Length) ==
            0);
    REQUIRE(listen(Descriptor, 64) == 0);
    REQUIRE(getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                        &Length) == 0);
    Port = ntohs(Address.sin_port);
  }
  silent_listener(const silent_listener &) = delete;
  silent_listener &operator=(const silent_listener &) = delete;
  ~silent_listener() {
    close(Descriptor);
    for (const int Connection : Connections) {
      close(Connection);
    }
  }

  /// Waits for the next connection and keeps it open until the test ends.
  [[nodiscard]] bool accepts() {
    pollfd Poll{Descriptor, POLLIN, 0};
    if (poll(&Poll, 1, 30000) != 1) {
      return false;
    }
    const int Accepted = accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    Connections.push_back(Accepted);
    return Accepted >= 0;
  }
  /// True if a further connection waits.
  [[nodiscard]] bool hasConnection() const {
    pollfd Poll{Descriptor, POLLIN, 0};
    return poll(&Poll, 1, 0) == 1;
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }

  int Descriptor = -1;
  int Port = 0;
  std::vector<int> Connections;
};

} // namespace

// Guards against lost, reordered or mislabelled frames on a healthy link.
TEST_CASE("frames of all kinds arrive in order with their sender") {
  test_node Left(1, 5);
  test_node Right(2, 6);
  Left.dial({{2, &Right}, {1, &Left}});
  Right.dial({{1, &Left}});
  std::size_t Sent = 0;
  for (int Round = 0; Round < 20; ++Round) {
    for (const auto &Row : name_table<message_kind>::Rows) {
      REQUIRE(Left.Mesh->send(node_id{2}, Row.Value, std::to_string(Sent++)) ==
              send_outcome::Queued);
    }
  }
  REQUIRE(Right.Mesh->send(node_id{1}, message_kind::Raft, "back") ==
          send_outcome::Queued);
  const std::string Long(LongestPayloadBytes, 'x');
  CHECK(Left.Mesh->send(node_id{2}, message_kind::ConfigUpdate, Long + "x") ==
        send_outcome::TooLong);
  CHECK(Left.Mesh->send(node_id{1}, message_kind::Raft, "") ==
        send_outcome::UnknownPeer);
  REQUIRE(
      eventually([&] { return Right.count() == Sent && Left.count() == 1; }));
  REQUIRE(Left.Mesh->send(node_id{2}, message_kind::ConfigUpdate, Long) ==
          send_outcome::Queued);
  REQUIRE(eventually([&] { return Right.count() == Sent + 1; }));
  for (std::size_t I = 0; I < Sent; ++I) {
    const auto &Frame = Right.Frames[I];
    CHECK(Frame.From == node_id{1});
    CHECK(Frame.Incarnation == incarnation{5});
    CHECK(Frame.Payload == std::to_string(I));
    CHECK(
        Frame.Kind ==
        name_table<message_kind>::Rows[I % std::size(
                                               name_table<message_kind>::Rows)]
            .Value);
  }
  const auto Out = Left.Mesh->counters().of(message_kind::ConfigUpdate);
  const auto In = Right.Mesh->counters().of(message_kind::ConfigUpdate);
  CHECK(Out.FramesSent == 21);
  CHECK(In.FramesReceived == 21);
  CHECK(Out.BytesSent == In.BytesReceived);
  CHECK(Left.drops(mesh_drop::Length) == 1);
  CHECK(Left.drops(mesh_drop::UnknownPeer) == 1);
}

// Guards against frames of a former life, or under a foreign key, that reach
// the receiver; and against a sender that is refused because it is unlisted.
TEST_CASE("a newer incarnation replaces the older one") {
  test_node Receiver(9);
  test_node Old(1, 3);
  test_node New(1, 4);
  test_node Foreign(2, 1, [](mesh_options &Options) {
    Options.FleetKey = "ffffffffffffffff";
  });
  test_node Misled(3);
  for (const auto *Node : {&Old, &New, &Foreign}) {
    Node->dial({{9, &Receiver}});
  }
  Misled.dial({{8, &Receiver}});
  const auto Send = [](const test_node &Node, std::uint32_t To = 9) {
    return Node.Mesh->send(node_id{To}, message_kind::Heartbeat, "beat");
  };
  REQUIRE(Send(Old) == send_outcome::Queued);
  REQUIRE(eventually([&] { return Receiver.count() == 1; }));
  REQUIRE(Send(New) == send_outcome::Queued);
  REQUIRE(eventually([&] { return Receiver.count() == 2; }));
  REQUIRE(Send(Old) == send_outcome::Queued);
  REQUIRE(Send(Foreign) == send_outcome::Queued);
  REQUIRE(Send(Misled, 8) == send_outcome::Queued);
  REQUIRE(eventually([&] {
    return Receiver.drops(mesh_drop::ReplayedOrOldIncarnation) == 1 &&
           Receiver.drops(mesh_drop::Mac) == 1 &&
           Receiver.drops(mesh_drop::Receiver) == 1;
  }));
  CHECK(Receiver.count() == 2);
}

// Guards against a stopped or dead peer that blocks or slows the others.
TEST_CASE("a stopped and a dead peer do not hold up a live one") {
  silent_listener Stopped;
  test_node Live(2);
  test_node Sender(1, 1,
                   [](mesh_options &Options) { Options.QueueFrames = 8; });
  std::string DeadAddress;
  {
    const silent_listener Closing;
    DeadAddress = Closing.address();
  }
  Sender.Mesh->setPeers({{node_id{2}, Live.Mesh->address()},
                         {node_id{3}, Stopped.address()},
                         {node_id{4}, DeadAddress}});
  REQUIRE(Stopped.accepts());
  const std::string Payload(65536, 'x');
  const auto Fill = [&](std::uint32_t Node) {
    return eventually([&] {
      return Sender.Mesh->send(node_id{Node}, message_kind::Raft, Payload) ==
             send_outcome::QueueFull;
    });
  };
  for (std::size_t I = 1; I <= 200; ++I) {
    REQUIRE(Fill(3));
    REQUIRE(Fill(4));
    REQUIRE(Sender.Mesh->send(node_id{2}, message_kind::Raft, Payload) ==
            send_outcome::Queued);
    REQUIRE(eventually([&] { return Live.count() == I; }));
  }
  CHECK(Sender.drops(mesh_drop::QueueFull) >= 400);
}

// Guards against a queue that is bounded in frames but not in bytes.
TEST_CASE("the queue of a peer is bounded in bytes") {
  std::string DeadAddress;
  {
    const silent_listener Closing;
    DeadAddress = Closing.address();
  }
  test_node Sender(1, 1,
                   [](mesh_options &Options) { Options.QueueBytes = 1000; });
  Sender.Mesh->setPeers({{node_id{2}, DeadAddress}});
  const std::string Long(100000, 'x');
  // An empty queue takes one frame whatever its length.
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, Long) ==
        send_outcome::Queued);
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, "x") ==
        send_outcome::QueueFull);
}

// Guards against a connection whose bytes are not frames of ours: it must end,
// be counted, and leave other senders alone.
TEST_CASE("a connection that announces too long a frame is closed") {
  test_node Receiver(9);
  const auto &Address = Receiver.Mesh->address();
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  To.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.rfind(':') + 1))));
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(connect(Descriptor, reinterpret_cast<sockaddr *>(&To), sizeof(To)) ==
          0);
  REQUIRE(write(Descriptor, "\xff\xff\xff\xff", 4) == 4);
  pollfd Poll{Descriptor, POLLIN, 0};
  REQUIRE(poll(&Poll, 1, 30000) == 1);
  char Byte = 0;
  CHECK(read(Descriptor, &Byte, 1) == 0);
  close(Descriptor);
  CHECK(Receiver.drops(mesh_drop::Length) == 1);
  test_node Sender(1);
  Sender.dial({{9, &Receiver}});
  REQUIRE(Sender.Mesh->send(node_id{9}, message_kind::Raft, "x") ==
          send_outcome::Queued);
  CHECK(eventually([&] { return Receiver.count() == 1; }));
}

// Guards against a cut that lets frames through in one direction, that stays
// after it is lifted, or that a production process accepts.
TEST_CASE("setCut drops frames in both directions until it is lifted") {
  test_node Left(1);
  test_node Right(2);
  test_node Production(
      3, 1, [](mesh_options &Options) { Options.AllowFaultInjection = false; });
  Left.dial({{2, &Right}});
  Right.dial({{1, &Left}});
  CHECK_FALSE(Production.Mesh->setBlockedPeers({node_id{1}}));
  REQUIRE(Left.Mesh->setBlockedPeers({node_id{2}}));
  CHECK(Left.Mesh->send(node_id{2}, message_kind::Raft, "a") ==
        send_outcome::Cut);
  CHECK(Right.Mesh->send(node_id{1}, message_kind::Raft, "b") ==
        send_outcome::Queued);
  REQUIRE(eventually([&] { return Left.drops(mesh_drop::Cut) == 2; }));
  CHECK(Left.count() == 0);
  REQUIRE(Left.Mesh->setBlockedPeers({}));
  CHECK(Left.Mesh->send(node_id{2}, message_kind::Raft, "c") ==
        send_outcome::Queued);
  CHECK(Right.Mesh->send(node_id{1}, message_kind::Raft, "d") ==
        send_outcome::Queued);
  REQUIRE(eventually([&] { return Left.count() + Right.count() == 2; }));
  CHECK(Left.Frames[0].Payload == "d");
  CHECK(Right.Frames[0].Payload == "c");
}

// Guards against a peer that is not reached again after it restarts, moves to
// another address, or is removed and added.
TEST_CASE("peers are reached again after restarts and changes") {
  test_node Sender(1);
  auto Peer = std::make_unique<test_node>(2, 1);
  const std::string Address = Peer->Mesh->address();
  Sender.dial({{2, Peer.get()}});
  // Frames may be lost while a connection breaks, so each step resends.
  const auto Reaches = [&](test_node &Node) {
    const auto Before = Node.count();
    return eventually([&] {
      (void)Sender.Mesh->send(node_id{2}, message_kind::Raft, "x");
      return Node.count() > Before;
    });
  };
  REQUIRE(Reaches(*Peer));
  Sender.Mesh->setPeers({});
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, "x") ==
        send_outcome::UnknownPeer);
  Sender.dial({{2, Peer.get()}});
  REQUIRE(Reaches(*Peer));
  Peer.reset();
  Peer = std::make_unique<test_node>(
      2, 2, [&](mesh_options &Options) { Options.Listen = Address; });
  REQUIRE(Reaches(*Peer));
  test_node Moved(2, 3);
  Sender.dial({{2, &Moved}});
  REQUIRE(Reaches(Moved));
}

// Guards against a connection that a long partition has silenced and that
// only TCP's own slow retransmission would revive.
// A voter adds a node that it hears but that is not in the list of live nodes;
// without that it cannot tell the node that its session has ended.
TEST_CASE("a peer is added beside the others until the next list") {
  test_node First(1);
  test_node Second(2);
  test_node Sender(3);
  Sender.dial({{1, &First}});
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, "x") ==
        send_outcome::UnknownPeer);
  Sender.Mesh->addPeer({node_id{2}, Second.Mesh->address()});
  Sender.Mesh->addPeer({node_id{2}, Second.Mesh->address()});
  CHECK(Sender.Mesh->hasPeer(node_id{1}));
  CHECK(Sender.Mesh->hasPeer(node_id{2}));
  CHECK(Sender.Mesh->send(node_id{1}, message_kind::Raft, "to 1") ==
        send_outcome::Queued);
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, "to 2") ==
        send_outcome::Queued);
  CHECK(eventually([&] { return First.count() == 1; }));
  CHECK(eventually([&] { return Second.count() == 1; }));
  Sender.dial({{1, &First}});
  CHECK_FALSE(Sender.Mesh->hasPeer(node_id{2}));
}

TEST_CASE("a silent peer is dialed anew") {
  silent_listener Silent;
  test_node Sender(1, 1,
                   [](mesh_options &Options) { Options.RedialAfter = 50ms; });
  Sender.Mesh->setPeers({{node_id{2}, Silent.address()}});
  for (int Connection = 0; Connection < 3; ++Connection) {
    (void)Sender.Mesh->send(node_id{2}, message_kind::Heartbeat, "beat");
    CHECK(Silent.accepts());
  }
}

// Guards against a connection that goes silent for good in one direction only:
// its sender hears the peer, so that it does not notice, and the peer can dial
// anew its own connection only.
TEST_CASE(
    "a connection is replaced when a peer that hears nothing dials anew") {
  silent_listener Silent;
  test_node Deaf(2, 1,
                 [](mesh_options &Options) { Options.RedialAfter = 50ms; });
  test_node Sender(1, 1,
                   [](mesh_options &Options) { Options.RedialAfter = 1s; });
  Deaf.dial({{1, &Sender}});
  Sender.Mesh->setPeers({{node_id{2}, Silent.address()}});
  REQUIRE(Silent.accepts());
  // The peer is heard all the time, so that it does not count as silent.
  CHECK(eventually([&] {
    (void)Deaf.Mesh->send(node_id{1}, message_kind::Heartbeat, "beat");
    (void)Sender.Mesh->send(node_id{2}, message_kind::Heartbeat, "beat");
    return Silent.hasConnection();
  }));
}

// Guards against a destructor, a change of peers or a redial that waits for
// ever when frames are on their way.
TEST_CASE("a mesh stops and redials under traffic") {
  test_node Sender(1, 1,
                   [](mesh_options &Options) { Options.RedialAfter = 1ms; });
  std::atomic<bool> Stop = false;
  std::thread Traffic([&] {
    while (!Stop) {
      (void)Sender.Mesh->send(node_id{2}, message_kind::Raft, "x");
      std::this_thread::sleep_for(50us);
    }
  });
  for (std::uint64_t Life = 1; Life <= 30; ++Life) {
    test_node Peer(2, Life);
    Sender.dial({{2, &Peer}});
    CHECK(eventually([&] { return Peer.count() > 20; }));
  }
  test_node Last(2, 99);
  Sender.dial({{2, &Last}});
  // The receive thread redials every half second, since nothing comes back.
  const auto Before = monotonic_clock::now();
  CHECK(eventually([&] { return monotonic_clock::now() - Before > 2s; }));
  const auto Count = Last.count();
  CHECK(eventually([&] { return Last.count() > Count; }));
  // Senders may outlive the connections.
  Sender.Mesh->stop();
  Sender.dial({{2, &Last}});
  CHECK(Sender.Mesh->send(node_id{2}, message_kind::Raft, "x") ==
        send_outcome::UnknownPeer);
  Stop = true;
  Traffic.join();
}

// Guards against a start that fails without a typed reason.
TEST_CASE("a listener that cannot start is a typed error") {
  const test_node First(1);
  struct row {
    std::string Listen;
  };
  for (const auto &Row : {row{First.Mesh->address()}, row{"not an address"}}) {
    CAPTURE(Row.Listen);
    mesh_options Options;
    Options.Self = node_id{2};
    Options.Listen = Row.Listen;
    const auto Started =
        peer_mesh::start(Options, [](node_id, incarnation, message_kind,
                                     const std::string &) {});
    REQUIRE(Started.has_error());
    CHECK(Started.error().Code == mesh_error_code::Listen);
  }
}
