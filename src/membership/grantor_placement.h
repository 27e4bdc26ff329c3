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
  /// Empty for a new pool.
  std::optional<node_id> Grantor;
  /// Incarnation of the grantor; 0 if it is not recorded.
  incarnation Incarnation{};
};

enum class move_reason {
  NewPool,
  GrantorGone,
  GrantorRestarted,
  GrantorSuspected,
  GrantorLeaving,
  DomainOutOfService,
};

/// A change of the grantor of a pool, which starts a new epoch.
struct grantor_move {
  pool_id Pool{};
  std::optional<node_id> From;
  node_id To{};
  incarnation Incarnation{};
  move_reason Reason{};

  friend bool operator==(const grantor_move &, const grantor_move &) = default;
};

/// Returns the pools that need another grantor, with the node for each. The
/// node is selected by rendezvous hashing over live routers that are neither
/// suspected nor draining. Routers in `OutOfServiceDomains` are eligible only
/// when there are no others. A grantor moves only for a `move_reason`, and no
/// pool moves while no router is eligible.
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
      {reason::DomainOutOfService, "domain_out"},
  };
};

} // namespace arbutus

#endif
