#ifndef ARBUTUS_CONSENSUS_MEMBERSHIP_H
#define ARBUTUS_CONSENSUS_MEMBERSHIP_H

#include "base/result.h"
#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// True if the latest membership in the log is not committed yet.
[[nodiscard]] bool changeInProgress(const raft_state &State);

/// Returns the membership after a change of one member, or why the change is
/// rejected. Consecutive memberships differ by at most one voter, so that any
/// two of their majorities overlap.
[[nodiscard]] result<cluster_membership, rejection_reason>
applyChange(const raft_state &State, const membership_change &Change);

} // namespace arbutus::consensus::impl

#endif
