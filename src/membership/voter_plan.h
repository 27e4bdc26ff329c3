#ifndef ARBUTUS_MEMBERSHIP_VOTER_PLAN_H
#define ARBUTUS_MEMBERSHIP_VOTER_PLAN_H

#include "base/clock.h"
#include "consensus/cluster_membership.h"
#include "consensus/input.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace arbutus::membership {

/// A node with a data directory and the last contact of the leader with it.
struct voter_candidate {
  node_id Node{};
  consensus::data_directory_id DirectoryId{};
  instant LastContactAt;
};

/// Returns the next change of voters towards the target count of live ones, or
/// nothing. A voter with a new data directory becomes a learner under its new
/// id; a learner is promoted; a lost voter is removed once another one has
/// replaced it; new nodes join up to the target count. Changes one node at a
/// time: call again after the change is committed.
[[nodiscard]] std::optional<consensus::membership_change>
planVoterChange(const consensus::cluster_membership &Membership,
                const std::vector<voter_candidate> &Nodes, instant Now);

/// Number of voters for this many nodes with data directories: five tolerate
/// the loss of two, three that of one.
[[nodiscard]] std::size_t targetVoterCount(std::size_t Nodes) noexcept;

} // namespace arbutus::membership

#endif
