#ifndef ARBUTUS_MEMBERSHIP_GRANTOR_PLACEMENT_H
#define ARBUTUS_MEMBERSHIP_GRANTOR_PLACEMENT_H

#include "base/ids.h"
#include "base/name_table.h"
#include "membership/node_session.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::membership {

/// The grantor that the replicated log names for a pool.
struct grantor_assignment {
  pool_id Pool{};
  /// Nothing for a new pool.
  std::optional<node_id> Grantor;
  /// Incarnation that was appointed; 0 when it is not recorded.
  incarnation Incarnation{};
};

enum class move_reason {
  NewPool,
  GrantorGone,
  GrantorRestarted,
  GrantorSuspected,
  GrantorLeaving,
  DomainOut,
};

/// One change of a grantor, for the log and for a new epoch of the pool.
struct grantor_move {
  pool_id Pool{};
  std::optional<node_id> From;
  node_id To{};
  incarnation Incarnation{};
  move_reason Reason{};

  friend bool operator==(const grantor_move &, const grantor_move &) = default;
};

/// Decides which pools need another grantor and which node takes each, by
/// rendezvous hashing over live routers that are neither suspected nor leaving.
/// Routers in `OutOfServiceDomains` are chosen only when there are no others. A
/// grantor without a fault stays, and a pool stays when no router is eligible.
[[nodiscard]] std::vector<grantor_move>
planGrantorMoves(const std::vector<grantor_assignment> &Assignments,
                 const std::vector<live_node> &Nodes,
                 const std::set<std::string> &OutOfServiceDomains);

} // namespace arbutus::membership

namespace arbutus {

template <> struct name_table<membership::move_reason> {
  using reason = membership::move_reason;
  static constexpr name_row<reason> Rows[] = {
      {reason::NewPool, "new_pool"},
      {reason::GrantorGone, "grantor_gone"},
      {reason::GrantorRestarted, "grantor_restarted"},
      {reason::GrantorSuspected, "grantor_suspected"},
      {reason::GrantorLeaving, "grantor_leaving"},
      {reason::DomainOut, "domain_out"},
  };
};

} // namespace arbutus

#endif
