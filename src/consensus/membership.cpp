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

/// True if a learner replied recently and has synced every committed entry, so
/// that its promotion does not stall commits.
bool caughtUp(const raft_state &State, const member &Learner) {
  const auto Found = State.Peers.find(Learner.node());
  return Found != State.Peers.end() &&
         Found->second.DirectoryId == Learner.directoryId() &&
         Found->second.MatchIndex >= State.CommitIndex &&
         State.Now - Found->second.LastContactAt <
             State.Options.MinElectionTimeout;
}

result<cluster_membership, rejection_reason>
addLearner(cluster_membership Membership, const membership_change &Change) {
  const auto *Voter = find(Membership.Voters, Change.Node);
  const auto *Learner = find(Membership.Learners, Change.Node);
  const auto *Existing = Voter != nullptr ? Voter : Learner;
  if (Existing != nullptr && Existing->directoryId() == Change.DirectoryId) {
    return rejection_reason::AlreadyMember;
  }
  if (Voter != nullptr && Membership.Voters.size() == 1) {
    return rejection_reason::LastVoter;
  }
  erase(Membership.Voters, Change.Node);
  erase(Membership.Learners, Change.Node);
  Membership.Learners.emplace_back(Change.Node, Change.DirectoryId);
  return Membership;
}

result<cluster_membership, rejection_reason>
removeMember(cluster_membership Membership, node_id Node) {
  const bool Voter = Membership.isVoter(Node);
  if (!Voter && !Membership.isLearner(Node)) {
    return rejection_reason::NotMember;
  }
  if (Voter && Membership.Voters.size() == 1) {
    return rejection_reason::LastVoter;
  }
  erase(Membership.Voters, Node);
  erase(Membership.Learners, Node);
  return Membership;
}

result<cluster_membership, rejection_reason>
promoteLearner(const raft_state &State, node_id Node) {
  auto Membership = State.membership();
  const auto *Found = find(Membership.Learners, Node);
  if (Found == nullptr) {
    return Membership.isVoter(Node) ? rejection_reason::AlreadyMember
                                    : rejection_reason::NotMember;
  }
  const auto Learner = *Found;
  if (!caughtUp(State, Learner)) {
    return rejection_reason::NotCaughtUp;
  }
  erase(Membership.Learners, Node);
  Membership.Voters.push_back(Learner);
  return Membership;
}

} // namespace

bool changeInProgress(const raft_state &State) {
  return State.MembershipHistory.back().Index > State.CommitIndex;
}

result<cluster_membership, rejection_reason>
applyChange(const raft_state &State, const membership_change &Change) {
  switch (Change.Kind) {
  case membership_change_kind::AddLearner:
    return addLearner(State.membership(), Change);
  case membership_change_kind::Promote:
    return promoteLearner(State, Change.Node);
  case membership_change_kind::Remove:
    return removeMember(State.membership(), Change.Node);
  }
  return rejection_reason::NotMember;
}

} // namespace arbutus::consensus::impl
