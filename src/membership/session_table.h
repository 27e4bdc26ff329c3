#ifndef ARBUTUS_MEMBERSHIP_SESSION_TABLE_H
#define ARBUTUS_MEMBERSHIP_SESSION_TABLE_H

#include "membership/node_session.h"

#include <cstdint>
#include <map>
#include <vector>

namespace arbutus::membership {

struct session_timing {
  /// Silence after which a node is left out of address answers and placement.
  duration SuspectAfter = 1s;
  /// The lease that a node counts from the send time of a heartbeat.
  duration Lease = 2800ms;
  /// The leader waits this much longer than the lease, because its clock may
  /// run faster than the holder's. 0.2 s in 2.8 s covers 7 % of drift.
  duration DriftMargin = 200ms;
};

/// The leader's table of node sessions. Not thread-safe; every time is an
/// argument. A slow node is suspected; only silence beyond its lease ends a
/// session.
class session_table {
public:
  explicit session_table(session_timing Timing = {}) noexcept;

  /// Begins a term as leader: forgets the sessions of earlier terms and gives
  /// every known node a full lease from `Now`. Ended incarnations, both those
  /// in `Known` and those that this table has ended itself, stay closed.
  void startTerm(const std::vector<prior_session> &Known, instant Now);

  /// Records a heartbeat that arrived at `Now`.
  [[nodiscard]] lease_reply onHeartbeat(const heartbeat &Heartbeat,
                                        instant Now);

  /// Returns the changes since the last call, including those that heartbeats
  /// have caused, in the order in which they happened.
  [[nodiscard]] std::vector<session_event> tick(instant Now);

  /// Nodes whose sessions have not ended, by number.
  [[nodiscard]] std::vector<live_node> liveNodes() const;

  /// Changes whenever a node, its addresses or its suspected or leaving state
  /// in `liveNodes` changes (not with `AppliedRevision`). Comparable only
  /// within one term.
  [[nodiscard]] std::uint64_t nodesVersion() const noexcept;

  /// Newest closed incarnation of each node, for `startTerm` elsewhere.
  [[nodiscard]] const std::map<node_id, incarnation> &closed() const noexcept;

private:
  struct session {
    live_node Node;
    instant LastContactAt;
  };

  using session_map = std::map<node_id, session>;

  void close(node_id Node, incarnation Incarnation);
  void refresh(session &Session, const live_node &Next);
  session_map::iterator end(session_map::iterator Entry);

  session_timing Timing;
  session_map Sessions;
  std::map<node_id, incarnation> Closed;
  std::vector<session_event> Events;
  std::uint64_t Version = 1;
};

} // namespace arbutus::membership

#endif
