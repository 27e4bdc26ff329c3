#ifndef ARBUTUS_MEMBERSHIP_VOTER_PLAN_H
#define ARBUTUS_MEMBERSHIP_VOTER_PLAN_H

#include "base/clock.h"
#include "consensus/cluster_membership.h"
#include "consensus/input.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace arbutus::membership {

/// A node with a data directory, as the leader last heard it.
struct voter_candidate {
  node_id Node{};
  consensus::data_directory_id Disk{};
  instant LastContactAt;
};

/// The next change of voters that brings the set closer to one of live nodes,
/// or nothing. A voter whose disk was lost becomes a learner under its new
/// disk; a learner is promoted; a voter that has been silent is removed once
/// another one has taken its place; new nodes join up to the wanted number.
/// One change at a time: call again after it is committed.
[[nodiscard]] std::optional<consensus::membership_change>
planVoterChange(const consensus::cluster_membership &Set,
                const std::vector<voter_candidate> &Nodes, instant Now);

/// Number of voters that the fleet keeps when this many nodes have disks: five
/// bear the loss of two, three that of one.
[[nodiscard]] std::size_t wantedVoters(std::size_t Nodes) noexcept;

} // namespace arbutus::membership

#endif
