#ifndef ARBUTUS_MEMBERSHIP_NODE_SESSION_H
#define ARBUTUS_MEMBERSHIP_NODE_SESSION_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"

#include <cstdint>
#include <string>

namespace arbutus::membership {

/// Properties that a node announces.
struct node_info {
  node_id Node{};
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// `ip:port` for callers and operators.
  std::string HttpAddress;
  /// `ip:port` of the peer mesh.
  std::string MeshAddress;
  bool IsRouter = false;
  bool IsControl = false;
  /// `ip:port` for callers whose requests are routed by host and path; empty
  /// if the node does not serve them.
  std::string TrafficAddress;

  friend bool operator==(const node_info &, const node_info &) = default;
};

struct heartbeat {
  node_info Info;
  incarnation Incarnation{};
  /// Newest configuration revision that the node has applied.
  revision AppliedRevision{};
  /// Microseconds on the sender's own monotonic clock; echoed in the reply.
  std::int64_t SendTimeMicros = 0;
  /// True while the node is draining.
  bool Leaving = false;
};

enum class lease_outcome {
  Granted,
  /// The session of this incarnation has ended, or a newer incarnation is
  /// known. The node must use a larger incarnation.
  IncarnationClosed,
};

struct lease_reply {
  lease_outcome Outcome = lease_outcome::IncarnationClosed;
  /// Runs from `SendTimeMicros` on the clock of the holder. Zero unless
  /// granted.
  duration Lease{};
  std::int64_t SendTimeMicros = 0;
  /// Unless granted, the node must choose an incarnation larger than this one.
  incarnation LastEndedIncarnation{};
};

enum class session_event_kind {
  Joined,
  Suspected,
  Recovered,
  Ended,
  Leaving,
  /// A newer incarnation has replaced `Incarnation`, whose session has ended.
  Restarted,
};

/// A change of one session, in the order in which the changes happened. After
/// `Ended` and `Restarted`, which slots `Incarnation` still uses is unknown.
struct session_event {
  session_event_kind Kind{};
  node_id Node{};
  incarnation Incarnation{};
  /// Only for `Restarted`.
  incarnation NewIncarnation{};

  friend bool operator==(const session_event &,
                         const session_event &) = default;
};

/// A node whose session has not ended.
struct live_node {
  node_info Info;
  incarnation Incarnation{};
  revision AppliedRevision{};
  bool Suspected = false;
  bool Leaving = false;
};

/// Session of a node as a new leader knows it, from the replicated log or from
/// heartbeats that it received as a follower.
struct prior_session {
  node_info Info;
  /// Incarnation whose session may still hold a lease; 0 if there is none.
  incarnation Incarnation{};
  /// Newest incarnation whose session has ended; 0 if there is none.
  incarnation LastEndedIncarnation{};
  bool Leaving = false;
};

} // namespace arbutus::membership

namespace arbutus {

template <> struct name_table<membership::lease_outcome> {
  using outcome_code = membership::lease_outcome;
  static constexpr name_row<outcome_code> Rows[] = {
      {outcome_code::Granted, "granted"},
      {outcome_code::IncarnationClosed, "incarnation_closed"},
  };
};

template <> struct name_table<membership::session_event_kind> {
  using kind = membership::session_event_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::Joined, "joined"},       {kind::Suspected, "suspected"},
      {kind::Recovered, "recovered"}, {kind::Ended, "ended"},
      {kind::Leaving, "leaving"},     {kind::Restarted, "restarted"},
  };
};

} // namespace arbutus

#endif
