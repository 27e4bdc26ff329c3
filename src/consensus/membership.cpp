#include "consensus/membership.h"

#include <algorithm>
#include <vector>

namespace arbutus::consensus::impl {
namespace {

void erase(std::vector<member> &Members, node_id Node) {
  Members.erase(std::remove_if(Members.begin(), Members.end(),
                               [Node](const member &Member) {
                                 return Member.node() == Node;
                               }),
                Members.end());
}

const member *find(const std::vector<member> &Members, node_id Node) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [Node](const member &M) { return M.node() == Node; });
  return Found == Members.end() ? nullptr : &*Found;
}

/// True if a learner answers and holds every committed entry, so that its
/// promotion does not stall commits.
bool caughtUp(const raft_state &State, const member &Learner) {
  const auto Found = State.Members.find(Learner.node());
  return Found != State.Members.end() &&
         Found->second.Disk == Learner.directoryId() &&
         Found->second.Match >= State.CommitIndex &&
         State.Now - Found->second.HeardAt < State.Options.ElectionMin;
}

result<cluster_membership, rejection_reason>
withLearner(cluster_membership Set, const membership_change &Change) {
  const auto *Voter = find(Set.Voters, Change.Node);
  const auto *Learner = find(Set.Learners, Change.Node);
  const auto *Known = Voter != nullptr ? Voter : Learner;
  if (Known != nullptr && Known->directoryId() == Change.DirectoryId) {
    return rejection_reason::AlreadyMember;
  }
  if (Voter != nullptr && Set.Voters.size() == 1) {
    return rejection_reason::LastVoter;
  }
  erase(Set.Voters, Change.Node);
  erase(Set.Learners, Change.Node);
  Set.Learners.emplace_back(Change.Node, Change.DirectoryId);
  return Set;
}

result<cluster_membership, rejection_reason> without(cluster_membership Set,
                                                     node_id Node) {
  const bool Voter = Set.isVoter(Node);
  if (!Voter && !Set.isLearner(Node)) {
    return rejection_reason::NotMember;
  }
  if (Voter && Set.Voters.size() == 1) {
    return rejection_reason::LastVoter;
  }
  erase(Set.Voters, Node);
  erase(Set.Learners, Node);
  return Set;
}

result<cluster_membership, rejection_reason> promoted(const raft_state &State,
                                                      node_id Node) {
  auto Set = State.voters();
  const auto *Found = find(Set.Learners, Node);
  if (Found == nullptr) {
    return Set.isVoter(Node) ? rejection_reason::AlreadyMember
                             : rejection_reason::NotMember;
  }
  const auto Learner = *Found;
  if (!caughtUp(State, Learner)) {
    return rejection_reason::NotCaughtUp;
  }
  erase(Set.Learners, Node);
  Set.Voters.push_back(Learner);
  return Set;
}

} // namespace

bool changeInProgress(const raft_state &State) {
  return State.VoterHistory.back().Index > State.CommitIndex;
}

result<cluster_membership, rejection_reason>
changedVoters(const raft_state &State, const membership_change &Change) {
  switch (Change.Kind) {
  case membership_change_kind::AddLearner:
    return withLearner(State.voters(), Change);
  case membership_change_kind::Promote:
    return promoted(State, Change.Node);
  case membership_change_kind::Remove:
    return without(State.voters(), Change.Node);
  }
  return rejection_reason::NotMember;
}

} // namespace arbutus::consensus::impl
