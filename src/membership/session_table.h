#ifndef ARBUTUS_MEMBERSHIP_SESSION_TABLE_H
#define ARBUTUS_MEMBERSHIP_SESSION_TABLE_H

#include "membership/node_session.h"

#include <cstdint>
#include <map>
#include <vector>

namespace arbutus::membership {

struct session_timing {
  /// Time without a heartbeat after which a node is suspected. It is then not
  /// listed in address replies and gets no grantors.
  duration SuspectAfter = 1s;
  /// Lease that a node counts from the send time of a heartbeat.
  duration Lease = 2800ms;
  /// The leader waits this much longer than the lease, because its clock may
  /// run faster than the holder's. 0.2 s in 2.8 s covers 7 % of drift.
  duration DriftMargin = 200ms;
};

/// The leader's table of node sessions. Not thread-safe; takes the time as an
/// argument. A node without recent heartbeats is suspected, and its session
/// ends only after its lease.
class session_table {
public:
  explicit session_table(session_timing Timing = {}) noexcept;

  /// Begins a term as leader. Drops the sessions of earlier terms and gives
  /// every node in `Known` a full lease from `Now`. Incarnations that have
  /// ended, in `Known` or in this table, stay ended.
  void startTerm(const std::vector<prior_session> &Known, instant Now);

  /// Records a heartbeat that arrived at `Now`.
  [[nodiscard]] lease_reply onHeartbeat(const heartbeat &Heartbeat,
                                        instant Now);

  /// Suspects nodes and ends sessions whose time has passed. Returns all
  /// changes since the last call, including those by heartbeats, in order.
  [[nodiscard]] std::vector<session_event> tick(instant Now);

  /// Nodes whose sessions have not ended, by number.
  [[nodiscard]] std::vector<live_node> liveNodes() const;

  /// Changes whenever a node, its addresses or its suspected or leaving state
  /// in `liveNodes` changes (not with `AppliedRevision`). Comparable only
  /// within one term.
  [[nodiscard]] std::uint64_t nodesVersion() const noexcept;

  /// Newest ended incarnation of each node, for `startTerm` of another leader.
  [[nodiscard]] const std::map<node_id, incarnation> &
  endedIncarnations() const noexcept;

private:
  struct session {
    live_node Node;
    instant LastContactAt;
  };

  using session_map = std::map<node_id, session>;

  void markEnded(node_id Node, incarnation Incarnation);
  void applyHeartbeat(session &Session, const live_node &Next);
  session_map::iterator endSession(session_map::iterator Entry);

  session_timing Timing;
  session_map Sessions;
  std::map<node_id, incarnation> EndedIncarnations;
  std::vector<session_event> Events;
  std::uint64_t Version = 1;
};

} // namespace arbutus::membership

#endif
