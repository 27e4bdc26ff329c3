#ifndef ARBUTUS_NET_PEER_MESH_H
#define ARBUTUS_NET_PEER_MESH_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"
#include "base/result.h"
#include "net/mesh_counters.h"
#include "net/message_kind.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::net {

/// Another process of the fleet and the address of its listener.
struct mesh_peer {
  node_id Node{};
  /// `ip:port`
  std::string Address;

  friend bool operator==(const mesh_peer &, const mesh_peer &) = default;
};

struct mesh_options {
  node_id Self{};
  incarnation Incarnation{};
  /// `ip:port`; port 0 lets the system choose.
  std::string Listen;
  /// Key of every frame's HMAC, the same in the whole fleet.
  std::string FleetKey;
  std::vector<mesh_peer> Peers;
  /// Without it, `setBlockedPeers` has no effect.
  bool AllowFaultInjection = false;
  /// Frames and bytes that may wait for one peer. An empty queue always takes
  /// one frame, whatever its length.
  std::size_t QueueFrames = 1024;
  std::size_t QueueBytes = std::size_t{4} << 20U;
  /// A peer that frames are sent to and that has been silent for this long is
  /// dialed anew. After a long partition TCP waits up to two minutes between
  /// its own attempts; a new connection carries frames at once, well within
  /// the 15 s in which a configuration must be in force.
  duration RedialAfter = 5s;
};

/// What became of a frame at the sender. `Queued` promises no delivery.
enum class send_outcome { Queued, QueueFull, UnknownPeer, TooLong, Cut };

enum class mesh_error_code { Listen, Resources };

/// Why the mesh could not start or a peer could not be added.
struct mesh_error {
  mesh_error_code Code = mesh_error_code::Resources;
  std::string Address;
  std::string Reason;
};

/// Called on a mesh thread, one frame at a time, in the order in which each
/// peer sent its frames. It must not throw and must not destroy the mesh.
using mesh_receiver =
    std::function<void(node_id From, incarnation Incarnation, message_kind Kind,
                       std::string Payload)>;

/// Unreliable authenticated messages between the processes of the fleet: a
/// frame is delivered at most once and in order per peer, or dropped.
class peer_mesh {
public:
  /// Starts listening and dialing. Throws `std::runtime_error` when the
  /// listener cannot start; `start` returns the typed error instead.
  peer_mesh(mesh_options Options, mesh_receiver Receiver);
  /// Stops all threads; no call of the receiver is running afterwards.
  ~peer_mesh();
  peer_mesh(const peer_mesh &) = delete;
  peer_mesh &operator=(const peer_mesh &) = delete;

  /// Starts a mesh or says why it cannot start.
  [[nodiscard]] static result<std::unique_ptr<peer_mesh>, mesh_error>
  start(mesh_options Options, mesh_receiver Receiver);

  /// Queues a frame for a peer without waiting. Safe from any thread.
  send_outcome send(node_id To, message_kind Kind,
                    std::string_view Payload) noexcept;

  /// Sends later frames under a larger incarnation, after the session of the
  /// present one has ended.
  void setIncarnation(incarnation Incarnation) noexcept;

  /// Ends all connections. When it returns, the receiver does not run any more,
  /// and later calls of `send` find no peer, so that what sends through this
  /// mesh and what receives from it can end after it in any order. Must not be
  /// called from the receiver or from two threads at once.
  void stop();

  /// Replaces the set of peers; this node itself is left out. Dialers of peers
  /// that stay under the same address keep their connection and queue. Frames
  /// of senders outside this set are still received, because a joining node is
  /// not known yet.
  void setPeers(const std::vector<mesh_peer> &Peers);

  /// Adds a peer, or gives it a new address; does nothing for one that is
  /// known under this address. The next `setPeers` removes it again unless it
  /// names it.
  void addPeer(const mesh_peer &Peer);

  /// True if frames can be queued for this node.
  [[nodiscard]] bool hasPeer(node_id Node) const noexcept;

  /// Drops all frames to and from these nodes. Only for tests: does nothing
  /// and returns false unless fault injection is allowed.
  bool setBlockedPeers(const std::set<node_id> &Nodes);

  [[nodiscard]] mesh_counters counters() const noexcept;

  /// `ip:port` of the listener, with the port that the system chose.
  [[nodiscard]] const std::string &address() const noexcept;

private:
  struct state;

  std::unique_ptr<state> State;
};

} // namespace arbutus::net

namespace arbutus {

template <> struct name_table<net::send_outcome> {
  using outcome_code = net::send_outcome;
  static constexpr name_row<outcome_code> Rows[] = {
      {outcome_code::Queued, "queued"},
      {outcome_code::QueueFull, "queue_full"},
      {outcome_code::UnknownPeer, "unknown_peer"},
      {outcome_code::TooLong, "too_long"},
      {outcome_code::Cut, "cut"},
  };
};

template <> struct name_table<net::mesh_error_code> {
  using code = net::mesh_error_code;
  static constexpr name_row<code> Rows[] = {
      {code::Listen, "listen"},
      {code::Resources, "resources"},
  };
};

} // namespace arbutus

#endif
