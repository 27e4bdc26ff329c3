#include "consensus/cluster_membership.h"

#include <algorithm>

namespace arbutus::consensus {

bool cluster_membership::isVoter(node_id Node,
                                 data_directory_id DirectoryId) const noexcept {
  return std::find(Voters.begin(), Voters.end(), member(Node, DirectoryId)) !=
         Voters.end();
}

bool cluster_membership::isVoter(node_id Node) const noexcept {
  return std::any_of(Voters.begin(), Voters.end(),
                     [Node](const member &M) { return M.node() == Node; });
}

bool cluster_membership::isLearner(node_id Node) const noexcept {
  return std::any_of(Learners.begin(), Learners.end(),
                     [Node](const member &M) { return M.node() == Node; });
}

cluster_membership bootstrapVoters(const std::vector<node_id> &Nodes) {
  cluster_membership Membership;
  for (const auto Node : Nodes) {
    Membership.Voters.emplace_back(Node, BootstrapDirectoryId);
  }
  return Membership;
}

} // namespace arbutus::consensus
