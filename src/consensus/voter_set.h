#ifndef ARBUTUS_CONSENSUS_VOTER_SET_H
#define ARBUTUS_CONSENSUS_VOTER_SET_H

#include "base/codec.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace arbutus::consensus {

/// Identity of a voter's data directory. A process that finds an empty
/// directory gets a new identity, so that votes and acknowledgements given
/// under a lost directory are never confused with those of its successor.
/// Directories created by the bootstrap of the fleet carry
/// `BootstrapDisk`.
enum class disk_id : std::uint64_t {};

inline constexpr disk_id BootstrapDisk{0};

/// One voter or learner: a process together with its data directory.
struct member {
  std::uint32_t Node = 0;
  std::uint64_t Disk = 0;

  member() = default;
  member(node_id Node, disk_id Disk) noexcept
      : Node(number(Node)), Disk(number(Disk)) {}

  [[nodiscard]] node_id node() const noexcept { return node_id{Node}; }
  [[nodiscard]] disk_id disk() const noexcept { return disk_id{Disk}; }
  bool operator==(const member &) const = default;
  MSGPACK_DEFINE(Node, Disk)
};

/// The members of the replicated log. Learners receive entries but neither
/// vote nor count towards a majority.
struct voter_set {
  std::vector<member> Voters;
  std::vector<member> Learners;

  bool operator==(const voter_set &) const = default;
  MSGPACK_DEFINE(Voters, Learners)

  /// Number of voters that form a majority.
  [[nodiscard]] std::size_t majority() const noexcept {
    return Voters.size() / 2 + 1;
  }
  [[nodiscard]] bool isVoter(node_id Node, disk_id Disk) const noexcept;
  [[nodiscard]] bool isVoter(node_id Node) const noexcept;
  [[nodiscard]] bool isLearner(node_id Node) const noexcept;
};

/// Returns the set of bootstrap voters with these nodes.
[[nodiscard]] voter_set bootstrapVoters(const std::vector<node_id> &Nodes);

} // namespace arbutus::consensus

#endif
