#include "base/codec.h"
#include "control/messages.h"
#include "control/voter.h"
#include "settings/settings.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr std::uint32_t Voters = 3;
/// A node that sends heartbeats and admin requests.
constexpr node_id Client{9};

/// File operations whose writes fail with ENOSPC while `DiskFull` is set.
storage::file_operations limitedFiles(const std::atomic<bool> &DiskFull) {
  auto Files = storage::posixFileOperations();
  Files.Write = [&DiskFull, Write = Files.Write](int File, const char *Bytes,
                                                 std::size_t Size) -> ssize_t {
    if (DiskFull) {
      errno = ENOSPC;
      return -1;
    }
    return Write(File, Bytes, Size);
  };
  return Files;
}

/// Three voters in one process that exchange frames by function calls. With
/// discovery, the leader waits for a list of instances.
class voter_group {
public:
  explicit voter_group(bool WithDiscovery = false,
                       settings::limit_settings Limits = {})
      : WithDiscovery(WithDiscovery), Limits(Limits) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "voters-XXXXXX").string();
    Folder = ::mkdtemp(Pattern.data());
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      REQUIRE(initializeVoterDirectory(settingsOf(Id)).has_value());
    }
    startAll();
  }

  ~voter_group() {
    stopAll();
    std::filesystem::remove_all(Folder);
  }

  /// Ends all voters and starts them again from their data directories.
  void restartAll() {
    stopAll();
    startAll();
  }

  voter_group(const voter_group &) = delete;
  voter_group &operator=(const voter_group &) = delete;

  /// Sends a frame of the client to every voter.
  void send(net::message_kind Kind, const std::string &Payload) {
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      deliver(Client, node_id{Id}, Kind, Payload);
    }
  }

  /// Gives every voter a list of instances that was read now.
  void postInstances(const std::vector<store::named_instance> &Instances) {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Id, Voter] : Group) {
      Voter->postInstances({monotonic_clock::now(), Instances});
    }
  }

  [[nodiscard]] voter_status statusOf(std::uint32_t Id) {
    const std::lock_guard Lock(Mutex);
    return Group.at(node_id{Id})->status();
  }

  /// For voter `Id`, element `Id - 1` makes its writes fail.
  std::array<std::atomic<bool>, Voters> DiskFull{};
  std::atomic<int> Replies{0};
  std::atomic<int> Leases{0};
  /// Replies of a leader, with a lease or without.
  std::atomic<int> LeaderReplies{0};
  /// Node lists that were sent without a heartbeat.
  std::atomic<int> UnsolicitedNodeLists{0};
  /// Term and clock of the leader, by its latest reply.
  std::atomic<std::uint64_t> LeaderTerm{0};
  std::atomic<std::int64_t> LeaderTimeUs{0};
  std::atomic<std::uint64_t> NodesTerm{0};
  std::atomic<std::uint64_t> NodesVersion{0};

  /// The reply to the client's request with this number, if it has come.
  [[nodiscard]] std::optional<api_reply_message> replyTo(std::uint64_t Number) {
    const std::lock_guard Lock(Mutex);
    const auto Found = ReplyByNumber.find(Number);
    return Found == ReplyByNumber.end() ? std::nullopt
                                        : std::optional(Found->second);
  }

private:
  [[nodiscard]] settings::settings settingsOf(std::uint32_t Id) const {
    settings::settings Settings;
    Settings.Node.Id = node_id{Id};
    Settings.Node.IsControl = true;
    Settings.Node.DataDirectory = Folder / std::to_string(Id);
    Settings.Limits = Limits;
    if (WithDiscovery) {
      Settings.Discovery.Server = {"127.0.0.1", 9};
    }
    for (std::uint32_t Other = 1; Other <= Voters; ++Other) {
      Settings.Fleet.InitialVoters.push_back({node_id{Other}, {}});
    }
    return Settings;
  }

  void startAll() {
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      auto Started = voter::start(
          settingsOf(Id),
          [this, Id](node_id To, net::message_kind Kind,
                     const std::string &Payload) {
            deliver(node_id{Id}, To, Kind, Payload);
          },
          limitedFiles(DiskFull[Id - 1]));
      REQUIRE(Started.has_value());
      const std::lock_guard Lock(Mutex);
      Group[node_id{Id}] = std::move(Started.value());
    }
  }

  void stopAll() {
    // The voters are destroyed without the lock, because their threads may
    // wait for it in `deliver`.
    std::map<node_id, std::unique_ptr<voter>> Ending;
    {
      const std::lock_guard Lock(Mutex);
      Ending.swap(Group);
    }
    Ending.clear();
  }

  void deliver(node_id From, node_id To, net::message_kind Kind,
               const std::string &Payload) {
    if (To == Client) {
      receive(Kind, Payload);
      return;
    }
    const std::lock_guard Lock(Mutex);
    if (const auto It = Group.find(To); It != Group.end()) {
      It->second->post({From, incarnation{1}, Kind, Payload});
    }
  }

  void receive(net::message_kind Kind, const std::string &Payload) {
    if (Kind == net::message_kind::ApiReply) {
      const auto Reply = decode<api_reply_message>(Payload).value();
      const std::lock_guard Lock(Mutex);
      ReplyByNumber[Reply.Number] = Reply;
      ++Replies;
    } else if (Kind == net::message_kind::HeartbeatReply) {
      const auto Reply = decode<heartbeat_reply_message>(Payload).value();
      if (Reply.HasNodes) {
        NodesTerm = Reply.Term;
        NodesVersion = Reply.NodesVersion;
        UnsolicitedNodeLists += Reply.SendTimeUs == 0 ? 1 : 0;
      }
      if (Reply.LeaderTimeUs != 0) {
        LeaderTimeUs = Reply.LeaderTimeUs;
        LeaderTerm = Reply.Term;
      }
      Leases += Reply.LeaseUs > 0 ? 1 : 0;
      LeaderReplies += Reply.FromLeader && Reply.SendTimeUs != 0 ? 1 : 0;
    }
  }

  bool WithDiscovery;
  settings::limit_settings Limits;
  std::filesystem::path Folder;
  std::mutex Mutex;
  std::map<node_id, std::unique_ptr<voter>> Group;
  std::map<std::uint64_t, api_reply_message> ReplyByNumber;
};

std::string heartbeatFrame(const voter_group &Group) {
  heartbeat_message Message;
  Message.Sender.Node = number(Client);
  Message.Sender.IsRouter = true;
  Message.SendTimeUs = 1;
  Message.NodesTerm = Group.NodesTerm;
  Message.NodesVersion = Group.NodesVersion;
  return encode(Message);
}

std::string createRequest(int Number) {
  api_request_message Call;
  Call.Number = static_cast<std::uint64_t>(Number) + 1;
  Call.Method = "PUT";
  Call.Target = "/api/v1/failure_domain/d" + std::to_string(Number);
  Call.Body = R"({"version":0,"spec":{"region":"r","state":"in"}})";
  Call.RequestId = "request-" + std::to_string(Number);
  return encode(Call);
}

/// A configuration of at least `Bytes`.
std::string configRequest(std::uint64_t Version, std::size_t Bytes) {
  api_request_message Call;
  Call.Number = Version;
  Call.Method = "PUT";
  Call.Target = "/api/v1/configuration";
  Call.Body = nlohmann::json({{"version", Version},
                              {"routes", nlohmann::json::array()},
                              {"services", nlohmann::json::array()},
                              {"document", std::string(Bytes, 'x')}})
                  .dump();
  return encode(Call);
}

/// An order on failure domain "z" that the client received after the latest
/// reply of the leader.
api_request_message domainOrder(const voter_group &Group, std::uint64_t Number,
                                const char *State) {
  api_request_message Order;
  Order.Number = Number;
  Order.Method = "PUT";
  Order.Target = "/api/v1/domain_state/z";
  Order.Body = nlohmann::json({{"state", State}}).dump();
  Order.Term = Group.LeaderTerm;
  Order.ReceivedAtUs = Group.LeaderTimeUs;
  Order.DeadlineUs = Order.ReceivedAtUs + toMicros(1h);
  return Order;
}

/// Repeats `Call` until `Condition` holds. Returns false after 30 s.
template <class F, class C> bool repeatUntil(F Call, C Condition) {
  const auto Deadline = monotonic_clock::now() + 30s;
  while (monotonic_clock::now() < Deadline) {
    Call();
    for (int I = 0; I < 100; ++I) {
      if (Condition()) {
        return true;
      }
      std::this_thread::sleep_for(2ms);
    }
  }
  return false;
}

} // namespace

// Guards against a leader that counts as not leading between learning of a
// commit and applying it. It then resets its duties: it loses the configuration
// position of every node, so that a change waits for the next heartbeats, and
// while writes go on it never suspects a silent node. Each start of the duties
// sends the list of nodes, which this test counts.
TEST_CASE("a commit does not reset the leader's duties") {
  voter_group Group;
  REQUIRE(repeatUntil(
      [&] { Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group)); },
      [&] { return Group.Leases > 0; }));
  const int Before = Group.UnsolicitedNodeLists;
  constexpr int Changes = 40;
  for (int I = 0; I < Changes; ++I) {
    const int Replies = Group.Replies;
    REQUIRE(repeatUntil(
        [&] {
          Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
          Group.send(net::message_kind::ApiRequest, createRequest(I));
        },
        [&] { return Group.Replies > Replies; }));
  }
  // On a busy machine the leader may lose its lease a few times.
  CHECK(Group.UnsolicitedNodeLists - Before < Changes / 4);
}

// Guards against leases by a list of instances that is too old: a new leader
// that has not read the list, or whose reads are late, must not let routers go
// on sending to upstreams that have begun to drain.
TEST_CASE("leases need a recent list of instances") {
  voter_group Group(true);
  const auto SendHeartbeat = [&] {
    Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
  };
  const auto AwaitLeaderReplies = [&](int Count) {
    const int Before = Group.LeaderReplies;
    REQUIRE(repeatUntil(SendHeartbeat,
                        [&] { return Group.LeaderReplies >= Before + Count; }));
  };
  AwaitLeaderReplies(2);
  CHECK(Group.Leases == 0);
  REQUIRE(repeatUntil(
      [&] {
        Group.postInstances({});
        SendHeartbeat();
      },
      [&] { return Group.Leases > 0; }));
  const instant Outdated =
      monotonic_clock::now() + settings::discovery_settings{}.MaxAge;
  REQUIRE(repeatUntil(SendHeartbeat,
                      [&] { return monotonic_clock::now() >= Outdated; }));
  const int Before = Group.Leases;
  AwaitLeaderReplies(2);
  CHECK(Group.Leases == Before);
  REQUIRE(repeatUntil(
      [&] {
        Group.postInstances({});
        SendHeartbeat();
      },
      [&] { return Group.Leases > Before; }));
}

// Guards against a voter that stays out of the group after its disk was full
// until its process is restarted. Two disks that fill up one after the other
// would then leave no majority although both have room again.
TEST_CASE("a voter recovers once its disk accepts writes again") {
  voter_group Group;
  int Change = 0;
  const auto MakeChange = [&] {
    const int Replies = Group.Replies;
    const int Number = ++Change;
    return repeatUntil(
        [&] {
          Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
          Group.send(net::message_kind::ApiRequest, createRequest(Number));
        },
        [&] { return Group.Replies > Replies; });
  };
  REQUIRE(MakeChange());
  for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
    CAPTURE(Id);
    Group.DiskFull[Id - 1] = true;
    REQUIRE(repeatUntil([&] { CHECK(MakeChange()); },
                        [&] { return Group.statusOf(Id).StorageFailed; }));
    REQUIRE(MakeChange());
    Group.DiskFull[Id - 1] = false;
    REQUIRE(
        repeatUntil([] {}, [&] { return !Group.statusOf(Id).StorageFailed; }));
  }
  REQUIRE(MakeChange());
  for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
    CAPTURE(Id);
    REQUIRE(repeatUntil([] {},
                        [&] {
                          return Group.statusOf(Id).AppliedIndex ==
                                 Group.statusOf(1).AppliedIndex;
                        }));
  }
}

// Guards against a log that is bounded by its number of entries only. Entries
// hold whole configurations, so that hundreds of changes filled the memory of a
// small VM, and a restart, which reads the log, needed more than there was.
TEST_CASE(
    "the log stays within its share of memory over changes and restarts") {
  settings::limit_settings Limits;
  Limits.MemoryMegabytes = 16;
  constexpr std::uint64_t ShareBytes = 16'000'000 / 8;
  constexpr std::size_t ConfigBytes = 20'000;
  constexpr std::uint64_t ChangesPerRun = 3 * ShareBytes / ConfigBytes / 2;
  voter_group Group(false, Limits);
  std::uint64_t Version = 0;
  for (int Run = 0; Run < 2; ++Run) {
    CAPTURE(Run);
    for (std::uint64_t I = 0; I < ChangesPerRun; ++I) {
      const int Replies = Group.Replies;
      ++Version;
      REQUIRE(repeatUntil(
          [&] {
            Group.send(net::message_kind::ApiRequest,
                       configRequest(Version, ConfigBytes));
          },
          [&] { return Group.Replies > Replies; }));
    }
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      CAPTURE(Id);
      CHECK(Group.statusOf(Id).LogBytes <= ShareBytes);
    }
    Group.restartAll();
    for (std::uint32_t Id = 1; Id <= Voters; ++Id) {
      CAPTURE(Id);
      CHECK(Group.statusOf(Id).LogBytes <= ShareBytes);
    }
  }
}

// Guards against an order that was held up on its way, for example in a frozen
// router or a cut link, and is carried out after a newer one was acknowledged:
// an evacuated failure domain was in use again.
TEST_CASE("a held up order leaves the newest acknowledged one in force") {
  voter_group Group;
  const auto Heartbeat = [&] {
    Group.send(net::message_kind::Heartbeat, heartbeatFrame(Group));
  };
  // The leader's clock is a bound that the test lets grow between two orders.
  const auto AwaitLeaderTime = [&] {
    const auto Before = Group.LeaderTimeUs.load();
    REQUIRE(
        repeatUntil(Heartbeat, [&] { return Group.LeaderTimeUs > Before; }));
  };
  const auto StatusOf = [&](const api_request_message &Request) {
    REQUIRE(repeatUntil(
        [&] {
          Heartbeat();
          Group.send(net::message_kind::ApiRequest, encode(Request));
        },
        [&] { return Group.replyTo(Request.Number).has_value(); }));
    return Group.replyTo(Request.Number)->Status;
  };
  const auto Carry = [&](std::uint64_t Number, const char *State) {
    AwaitLeaderTime();
    return StatusOf(domainOrder(Group, Number, State));
  };
  REQUIRE(Carry(1, "out") == 200);
  AwaitLeaderTime();
  const auto HeldUp = domainOrder(Group, 2, "in");
  REQUIRE(Carry(3, "in") == 200);
  REQUIRE(Carry(4, "out") == 200);

  CHECK(StatusOf(HeldUp) == 503);
  api_request_message Read;
  Read.Number = 5;
  Read.Method = "GET";
  Read.Target = "/api/v1/failure_domain/z";
  CHECK(StatusOf(Read) == 200);
  const auto Domain = nlohmann::json::parse(Group.replyTo(5)->Body);
  CHECK(Domain["spec"]["state"] == "out");
  // A repeat of the order in force is acknowledged, a new order is carried out.
  CHECK(Carry(6, "out") == 200);
  CHECK(Carry(7, "in") == 200);
}
