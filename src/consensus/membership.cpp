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
  return Found != State.Members.end() && Found->second.Disk == Learner.disk() &&
         Found->second.Match >= State.Commit &&
         State.Now - Found->second.HeardAt < State.Options.ElectionMin;
}

result<voter_set, refusal_reason> withLearner(voter_set Set,
                                              const voter_change &Change) {
  const auto *Voter = find(Set.Voters, Change.Node);
  const auto *Learner = find(Set.Learners, Change.Node);
  const auto *Known = Voter != nullptr ? Voter : Learner;
  if (Known != nullptr && Known->disk() == Change.Disk) {
    return refusal_reason::AlreadyMember;
  }
  if (Voter != nullptr && Set.Voters.size() == 1) {
    return refusal_reason::LastVoter;
  }
  erase(Set.Voters, Change.Node);
  erase(Set.Learners, Change.Node);
  Set.Learners.emplace_back(Change.Node, Change.Disk);
  return Set;
}

result<voter_set, refusal_reason> without(voter_set Set, node_id Node) {
  const bool Voter = Set.isVoter(Node);
  if (!Voter && !Set.isLearner(Node)) {
    return refusal_reason::NotMember;
  }
  if (Voter && Set.Voters.size() == 1) {
    return refusal_reason::LastVoter;
  }
  erase(Set.Voters, Node);
  erase(Set.Learners, Node);
  return Set;
}

result<voter_set, refusal_reason> promoted(const raft_state &State,
                                           node_id Node) {
  auto Set = State.voters();
  const auto *Found = find(Set.Learners, Node);
  if (Found == nullptr) {
    return Set.isVoter(Node) ? refusal_reason::AlreadyMember
                             : refusal_reason::NotMember;
  }
  const auto Learner = *Found;
  if (!caughtUp(State, Learner)) {
    return refusal_reason::NotCaughtUp;
  }
  erase(Set.Learners, Node);
  Set.Voters.push_back(Learner);
  return Set;
}

} // namespace

bool changeInProgress(const raft_state &State) {
  return State.VoterHistory.back().Index > State.Commit;
}

result<voter_set, refusal_reason> changedVoters(const raft_state &State,
                                                const voter_change &Change) {
  switch (Change.Kind) {
  case change_kind::AddLearner:
    return withLearner(State.voters(), Change);
  case change_kind::Promote:
    return promoted(State, Change.Node);
  case change_kind::Remove:
    return without(State.voters(), Change.Node);
  }
  return refusal_reason::NotMember;
}

} // namespace arbutus::consensus::impl
