#include "consensus/voter_set.h"

#include <algorithm>

namespace arbutus::consensus {

bool voter_set::isVoter(node_id Node, disk_id Disk) const noexcept {
  return std::find(Voters.begin(), Voters.end(), member(Node, Disk)) !=
         Voters.end();
}

bool voter_set::isVoter(node_id Node) const noexcept {
  return std::any_of(Voters.begin(), Voters.end(),
                     [Node](const member &M) { return M.node() == Node; });
}

bool voter_set::isLearner(node_id Node) const noexcept {
  return std::any_of(Learners.begin(), Learners.end(),
                     [Node](const member &M) { return M.node() == Node; });
}

voter_set bootstrapVoters(const std::vector<node_id> &Nodes) {
  voter_set Set;
  for (const auto Node : Nodes) {
    Set.Voters.emplace_back(Node, BootstrapDisk);
  }
  return Set;
}

} // namespace arbutus::consensus
