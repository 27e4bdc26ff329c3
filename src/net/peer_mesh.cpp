#include "net/peer_mesh.h"

#include "base/log.h"
#include "net/mesh_frame.h"
#include "net/mesh_listener.h"
#include "net/peer_link.h"
#include "net/replay_guard.h"
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <shared_mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace arbutus::net {

namespace {

/// How often the mesh looks for silent peers.
constexpr auto RedialCheckPeriod = std::chrono::milliseconds(500);

struct atomic_kind_counters {
  std::atomic<std::uint64_t> FramesSent = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> FramesReceived = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
};

using impl::peer_link;
using link_map = std::map<node_id, std::shared_ptr<peer_link>>;

} // namespace

struct peer_mesh::state {
  mesh_options Options;
  mesh_receiver Receiver;
  impl::link_context Context;
  /// Destroyed after everything that uses it.
  asio::io_context Io{1};
  std::unique_ptr<impl::mesh_listener> Listener;
  asio::steady_timer RedialTimer{Io};
  std::string Address;
  std::thread Thread;
  std::atomic<bool> Stopping = false;

  std::array<atomic_kind_counters, MessageKindSlots> Kinds;
  std::array<std::atomic<std::uint64_t>, MeshDropCount> Drops{};

  /// Guards `Links` and `Cut`, never held while waiting.
  std::shared_mutex Mutex;
  link_map Links;
  std::set<node_id> Cut;
  /// Serializes changes of `Links`.
  std::mutex PeersMutex;

  /// Used by the mesh's own thread only.
  replay_guard Guard;
  std::unordered_map<node_id, instant> LastReceived;

  state(mesh_options Given, mesh_receiver Receiver)
      : Options(std::move(Given)), Receiver(std::move(Receiver)) {
    Context.Self = Options.Self;
    Context.Incarnation = Options.Incarnation;
    Context.FleetKey = Options.FleetKey;
    Context.QueueFrames = Options.QueueFrames;
    Context.QueueBytes = Options.QueueBytes;
  }
  state(const state &) = delete;
  state &operator=(const state &) = delete;
  ~state() { stop(); }

  void stop() {
    Stopping = true;
    Io.stop();
    if (Thread.joinable()) {
      Thread.join();
    }
    Listener.reset();
    link_map Old;
    {
      const std::lock_guard PeersLock(PeersMutex);
      const std::unique_lock Lock(Mutex);
      Old.swap(Links);
    }
  }

  /// Returns an empty text, or why the listener cannot start.
  [[nodiscard]] std::string listen() {
    try {
      Listener = std::make_unique<impl::mesh_listener>(
          Io, impl::meshEndpoint(Options.Listen),
          [this](std::string_view Frame, bool IsFirst) {
            onMessage(Frame, IsFirst, monotonic_clock::now());
          },
          [this] { count(mesh_drop::Length); });
      Address = Listener->address();
    } catch (const std::exception &Error) {
      return Error.what();
    }
    return {};
  }

  void run() {
    armRedialCheck();
    Io.run();
  }

  void armRedialCheck() {
    RedialTimer.expires_after(RedialCheckPeriod);
    RedialTimer.async_wait([this](const asio::error_code &Error) {
      if (!Error) {
        redialSilentPeers(monotonic_clock::now());
        armRedialCheck();
      }
    });
  }

  void onMessage(std::string_view Bytes, bool IsFirst, instant Now) {
    const auto Parsed = parseFrame(Bytes, Options.Self, Options.FleetKey);
    if (Parsed.has_error()) {
      count(Parsed.error());
      return;
    }
    const auto &Header = Parsed.value().Header;
    {
      const std::shared_lock Lock(Mutex);
      if (Cut.count(Header.Sender) != 0) {
        count(mesh_drop::Cut);
        return;
      }
    }
    if (!Guard.accept(Header, Now)) {
      count(mesh_drop::ReplayedOrOldIncarnation);
      return;
    }
    LastReceived[Header.Sender] = Now;
    if (IsFirst) {
      redialAfterPeer(Header.Sender, Now);
    }
    auto &Counters = Kinds[static_cast<std::size_t>(Header.Kind)];
    ++Counters.FramesReceived;
    Counters.BytesReceived += Bytes.size();
    Receiver(Header.Sender, Header.Incarnation, Header.Kind,
             std::string(Parsed.value().Payload));
  }

  void redialSilentPeers(instant Now) {
    link_map Copy;
    {
      const std::shared_lock Lock(Mutex);
      Copy = Links;
    }
    for (const auto &[Node, Link] : Copy) {
      const auto Last = LastReceived.find(Node);
      Link->redialIfSilent(Last == LastReceived.end() ? instant()
                                                      : Last->second,
                           Now, Options.RedialAfter);
    }
  }

  /// A peer that dials anew may do so because it hears nothing from here: the
  /// connection to it may have gone silent while its own one worked.
  void redialAfterPeer(node_id Node, instant Now) {
    std::shared_ptr<peer_link> Link;
    {
      const std::shared_lock Lock(Mutex);
      const auto Found = Links.find(Node);
      if (Found == Links.end()) {
        return;
      }
      Link = Found->second;
    }
    Link->redialIfOlder(Now, Options.RedialAfter);
  }

  void count(mesh_drop Drop) noexcept {
    ++Drops[static_cast<std::size_t>(Drop)];
  }

  send_outcome send(node_id To, message_kind Kind, std::string_view Payload) {
    if (Payload.size() > LongestPayloadBytes) {
      count(mesh_drop::Length);
      return send_outcome::TooLong;
    }
    std::shared_ptr<peer_link> Link;
    {
      const std::shared_lock Lock(Mutex);
      if (Cut.count(To) != 0) {
        count(mesh_drop::Cut);
        return send_outcome::Cut;
      }
      if (const auto Found = Links.find(To); Found != Links.end()) {
        Link = Found->second;
      }
    }
    if (!Link) {
      count(mesh_drop::UnknownPeer);
      return send_outcome::UnknownPeer;
    }
    const auto Outcome = Link->send(Kind, Payload);
    if (Outcome == send_outcome::QueueFull) {
      count(mesh_drop::QueueFull);
    } else {
      auto &Counters = Kinds[static_cast<std::size_t>(Kind)];
      ++Counters.FramesSent;
      Counters.BytesSent += FrameOverheadBytes + Payload.size();
    }
    return Outcome;
  }

  void setPeers(const std::vector<mesh_peer> &Peers) {
    const std::lock_guard PeersLock(PeersMutex);
    replaceLinks(Peers);
  }

  /// Only for the holder of `PeersMutex`.
  void replaceLinks(const std::vector<mesh_peer> &Peers) {
    if (Stopping) {
      return;
    }
    link_map Next;
    // Replaced links close after the lock is released.
    link_map Old;
    {
      const std::shared_lock Lock(Mutex);
      Old = Links;
    }
    for (const auto &Peer : Peers) {
      if (Peer.Node == Options.Self) {
        continue;
      }
      const auto Kept = Old.find(Peer.Node);
      if (Kept != Old.end() && Kept->second->peer() == Peer) {
        Next[Peer.Node] = Kept->second;
        continue;
      }
      try {
        const auto Link = std::make_shared<peer_link>(Io, Peer, Context);
        Link->start();
        Next[Peer.Node] = Link;
      } catch (const std::exception &Error) {
        logEvent(log_level::Error, "mesh_dial_failed",
                 {{"peer", number(Peer.Node)}, {"reason", Error.what()}});
      }
    }
    const std::unique_lock Lock(Mutex);
    Links.swap(Next);
  }

  [[nodiscard]] bool hasPeer(node_id Node) {
    const std::shared_lock Lock(Mutex);
    return Links.find(Node) != Links.end();
  }

  void addPeer(const mesh_peer &Peer) {
    const std::lock_guard PeersLock(PeersMutex);
    std::vector<mesh_peer> Peers;
    {
      const std::shared_lock Lock(Mutex);
      for (const auto &[Node, Link] : Links) {
        if (Node != Peer.Node) {
          Peers.push_back(Link->peer());
        }
      }
    }
    Peers.push_back(Peer);
    replaceLinks(Peers);
  }
};

peer_mesh::peer_mesh(mesh_options Options, mesh_receiver Receiver)
    : State(std::make_unique<state>(std::move(Options), std::move(Receiver))) {
  if (const auto Reason = State->listen(); !Reason.empty()) {
    throw std::runtime_error(State->Options.Listen + ": " + Reason);
  }
  State->setPeers(State->Options.Peers);
  State->Thread = std::thread([Running = State.get()] { Running->run(); });
}

peer_mesh::~peer_mesh() = default;

result<std::unique_ptr<peer_mesh>, mesh_error>
peer_mesh::start(mesh_options Options, mesh_receiver Receiver) {
  const std::string Address = Options.Listen;
  try {
    return std::make_unique<peer_mesh>(std::move(Options), std::move(Receiver));
  } catch (const std::runtime_error &Error) {
    return mesh_error{mesh_error_code::Listen, Address, Error.what()};
  }
}

send_outcome peer_mesh::send(node_id To, message_kind Kind,
                             std::string_view Payload) noexcept {
  try {
    return State->send(To, Kind, Payload);
  } catch (const std::exception &) {
    // Out of memory: the frame is lost like any other that cannot be queued.
    State->count(mesh_drop::QueueFull);
    return send_outcome::QueueFull;
  }
}

void peer_mesh::setIncarnation(incarnation Incarnation) noexcept {
  State->Context.Incarnation = Incarnation;
}

void peer_mesh::stop() { State->stop(); }

void peer_mesh::setPeers(const std::vector<mesh_peer> &Peers) {
  State->setPeers(Peers);
}

void peer_mesh::addPeer(const mesh_peer &Peer) { State->addPeer(Peer); }

bool peer_mesh::hasPeer(node_id Node) const noexcept {
  return State->hasPeer(Node);
}

bool peer_mesh::setBlockedPeers(const std::set<node_id> &Nodes) {
  if (!State->Options.AllowFaultInjection) {
    return false;
  }
  const std::unique_lock Lock(State->Mutex);
  State->Cut = Nodes;
  return true;
}

mesh_counters peer_mesh::counters() const noexcept {
  mesh_counters Counters;
  for (std::size_t I = 0; I < MessageKindSlots; ++I) {
    const auto &Kind = State->Kinds[I];
    Counters.Kinds[I] = {Kind.FramesSent, Kind.BytesSent, Kind.FramesReceived,
                         Kind.BytesReceived};
  }
  for (std::size_t I = 0; I < MeshDropCount; ++I) {
    Counters.Drops[I] = State->Drops[I];
  }
  return Counters;
}

const std::string &peer_mesh::address() const noexcept {
  return State->Address;
}

} // namespace arbutus::net
