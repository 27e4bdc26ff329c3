#include "membership/voter_plan.h"

#include <algorithm>

namespace arbutus::membership {

namespace {

using consensus::membership_change;
using consensus::membership_change_kind;

/// Nodes with a contact within this time can take part in a change.
constexpr duration RecentContactWindow = 1s;
/// Time without contact after which a voter counts as lost and another node
/// may replace it. Shorter than most repairs, longer than most pauses.
constexpr duration LostAfter = 5s;

constexpr std::size_t MinVoters = 3;
constexpr std::size_t MaxVoters = 5;

const voter_candidate *find(const std::vector<voter_candidate> &Nodes,
                            node_id Node) {
  const auto Found =
      std::find_if(Nodes.begin(), Nodes.end(),
                   [Node](const auto &Known) { return Known.Node == Node; });
  return Found == Nodes.end() ? nullptr : &*Found;
}

bool isLost(const std::vector<voter_candidate> &Nodes, node_id Node,
            instant Now) {
  const auto *Known = find(Nodes, Node);
  return Known == nullptr || Now - Known->LastContactAt >= LostAfter;
}

std::size_t countLost(const consensus::cluster_membership &Membership,
                      const std::vector<voter_candidate> &Nodes, instant Now) {
  return static_cast<std::size_t>(std::count_if(
      Membership.Voters.begin(), Membership.Voters.end(),
      [&](const auto &Voter) { return isLost(Nodes, Voter.node(), Now); }));
}

bool isMember(const consensus::cluster_membership &Membership,
              const voter_candidate &Node) {
  const auto Same = [&](const consensus::member &Member) {
    return Member.node() == Node.Node &&
           Member.directoryId() == Node.DirectoryId;
  };
  return std::any_of(Membership.Voters.begin(), Membership.Voters.end(),
                     Same) ||
         std::any_of(Membership.Learners.begin(), Membership.Learners.end(),
                     Same);
}

} // namespace

std::size_t targetVoterCount(std::size_t Nodes) noexcept {
  return Nodes >= MaxVoters ? MaxVoters : MinVoters;
}

std::optional<membership_change>
planVoterChange(const consensus::cluster_membership &Membership,
                const std::vector<voter_candidate> &Nodes, instant Now) {
  const auto IsRecent = [Now](const voter_candidate &Node) {
    return Now - Node.LastContactAt < RecentContactWindow;
  };
  const std::size_t Live = static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(), IsRecent));
  const std::size_t Lost = countLost(Membership, Nodes, Now);
  const std::size_t TargetCount = std::max(
      targetVoterCount(Live), Membership.Voters.size() > MinVoters
                                  ? targetVoterCount(Membership.Voters.size())
                                  : std::size_t{0});
  for (const auto &Learner : Membership.Learners) {
    const auto *Known = find(Nodes, Learner.node());
    if (Known != nullptr && IsRecent(*Known) &&
        Known->DirectoryId == Learner.directoryId()) {
      return membership_change{
          membership_change_kind::Promote, Learner.node(), {}};
    }
    if (isLost(Nodes, Learner.node(), Now)) {
      return membership_change{
          membership_change_kind::Remove, Learner.node(), {}};
    }
  }
  if (Membership.Voters.size() > TargetCount && Lost > 0) {
    for (const auto &Voter : Membership.Voters) {
      if (isLost(Nodes, Voter.node(), Now)) {
        return membership_change{
            membership_change_kind::Remove, Voter.node(), {}};
      }
    }
  }
  for (const auto &Node : Nodes) {
    if (!IsRecent(Node) || isMember(Membership, Node)) {
      continue;
    }
    const bool HasOtherDirectory =
        Membership.isVoter(Node.Node) || Membership.isLearner(Node.Node);
    if (HasOtherDirectory || Membership.Voters.size() < TargetCount + Lost) {
      return membership_change{membership_change_kind::AddLearner, Node.Node,
                               Node.DirectoryId};
    }
  }
  return std::nullopt;
}

} // namespace arbutus::membership
