#include "membership/voter_plan.h"

#include <algorithm>

namespace arbutus::membership {

namespace {

using consensus::membership_change;
using consensus::membership_change_kind;

/// Nodes heard within this time can take part in a change.
constexpr duration RecentlyHeard = 1s;
/// Silence after which a voter is taken for lost, so that another node may
/// take its place. Shorter than most repairs, longer than most pauses.
constexpr duration TakenForLost = 5s;

constexpr std::size_t FewVoters = 3;
constexpr std::size_t ManyVoters = 5;

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
  return Known == nullptr || Now - Known->LastContactAt >= TakenForLost;
}

std::size_t countLost(const consensus::cluster_membership &Set,
                      const std::vector<voter_candidate> &Nodes, instant Now) {
  return static_cast<std::size_t>(std::count_if(
      Set.Voters.begin(), Set.Voters.end(),
      [&](const auto &Voter) { return isLost(Nodes, Voter.node(), Now); }));
}

bool isMember(const consensus::cluster_membership &Set,
              const voter_candidate &Node) {
  const auto Same = [&](const consensus::member &Member) {
    return Member.node() == Node.Node && Member.directoryId() == Node.Disk;
  };
  return std::any_of(Set.Voters.begin(), Set.Voters.end(), Same) ||
         std::any_of(Set.Learners.begin(), Set.Learners.end(), Same);
}

} // namespace

std::size_t wantedVoters(std::size_t Nodes) noexcept {
  return Nodes >= ManyVoters ? ManyVoters : FewVoters;
}

std::optional<membership_change>
planVoterChange(const consensus::cluster_membership &Set,
                const std::vector<voter_candidate> &Nodes, instant Now) {
  const auto Recent = [Now](const voter_candidate &Node) {
    return Now - Node.LastContactAt < RecentlyHeard;
  };
  const std::size_t Live = static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(), Recent));
  const std::size_t Lost = countLost(Set, Nodes, Now);
  const std::size_t Wanted =
      std::max(wantedVoters(Live), Set.Voters.size() > FewVoters
                                       ? wantedVoters(Set.Voters.size())
                                       : std::size_t{0});
  for (const auto &Learner : Set.Learners) {
    const auto *Known = find(Nodes, Learner.node());
    if (Known != nullptr && Recent(*Known) &&
        Known->Disk == Learner.directoryId()) {
      return membership_change{
          membership_change_kind::Promote, Learner.node(), {}};
    }
    if (isLost(Nodes, Learner.node(), Now)) {
      return membership_change{
          membership_change_kind::Remove, Learner.node(), {}};
    }
  }
  if (Set.Voters.size() > Wanted && Lost > 0) {
    for (const auto &Voter : Set.Voters) {
      if (isLost(Nodes, Voter.node(), Now)) {
        return membership_change{
            membership_change_kind::Remove, Voter.node(), {}};
      }
    }
  }
  for (const auto &Node : Nodes) {
    if (!Recent(Node) || isMember(Set, Node)) {
      continue;
    }
    const bool LostDisk = Set.isVoter(Node.Node) || Set.isLearner(Node.Node);
    if (LostDisk || Set.Voters.size() < Wanted + Lost) {
      return membership_change{membership_change_kind::AddLearner, Node.Node,
                               Node.Disk};
    }
  }
  return std::nullopt;
}

} // namespace arbutus::membership
