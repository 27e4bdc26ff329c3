#ifndef ARBUTUS_CONSENSUS_CLUSTER_MEMBERSHIP_H
#define ARBUTUS_CONSENSUS_CLUSTER_MEMBERSHIP_H

#include "base/codec.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace arbutus::consensus {

/// Identifies a voter's data directory. A process that finds an empty directory
/// gets a new id, so that votes and acknowledgements given from a lost
/// directory are never attributed to its successor. Directories created by the
/// bootstrap of the fleet have `BootstrapDirectoryId`.
enum class data_directory_id : std::uint64_t {};

inline constexpr data_directory_id BootstrapDirectoryId{0};

/// One voter or learner: a node and its data directory.
struct member {
  std::uint32_t Node = 0;
  std::uint64_t DirectoryId = 0;

  member() = default;
  member(node_id Node, data_directory_id DirectoryId) noexcept
      : Node(number(Node)), DirectoryId(number(DirectoryId)) {}

  [[nodiscard]] node_id node() const noexcept { return node_id{Node}; }
  [[nodiscard]] data_directory_id directoryId() const noexcept {
    return data_directory_id{DirectoryId};
  }
  bool operator==(const member &) const = default;
  MSGPACK_DEFINE(Node, DirectoryId)
};

/// The voters and learners of the Raft group. Learners receive entries but
/// neither vote nor count towards a majority.
struct cluster_membership {
  std::vector<member> Voters;
  std::vector<member> Learners;

  bool operator==(const cluster_membership &) const = default;
  MSGPACK_DEFINE(Voters, Learners)

  /// Number of voters that form a majority.
  [[nodiscard]] std::size_t majority() const noexcept {
    return Voters.size() / 2 + 1;
  }
  [[nodiscard]] bool isVoter(node_id Node,
                             data_directory_id DirectoryId) const noexcept;
  [[nodiscard]] bool isVoter(node_id Node) const noexcept;
  [[nodiscard]] bool isLearner(node_id Node) const noexcept;
};

/// Returns the membership with these nodes as bootstrap voters.
[[nodiscard]] cluster_membership
bootstrapVoters(const std::vector<node_id> &Nodes);

} // namespace arbutus::consensus

#endif
