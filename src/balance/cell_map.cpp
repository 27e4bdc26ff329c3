#include "balance/cell_map.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace arbutus::balance {

namespace {

/// Services with at most this many upstreams have a single cell. One router can
/// schedule the requests to this many with a few hundredths of a core.
constexpr std::size_t MaxSingleCellUpstreams = 16;
/// Mean number of upstreams in the cells of a larger service.
constexpr std::size_t MeanCellUpstreams = 10;
/// Requests leave their failure domain from this share of busy upstreams on.
constexpr double SpillBusyShare = 0.4;
/// Part of the requests that stays in any case, so that the domain's own cells
/// are used and their load stays known.
constexpr double MinNearFraction = 0.1;

std::uint64_t rendezvousWeight(std::string_view Name, std::uint64_t Candidate) {
  return hash64(Name, Candidate * 0x9e3779b97f4a7c15U + 1);
}

/// Returns the candidate with the highest weight for a name (rendezvous
/// hashing).
std::uint32_t rendezvousPick(std::string_view Name, std::uint32_t First,
                             std::uint32_t Count) {
  std::uint32_t Best = First;
  for (std::uint32_t I = First; I < First + Count; ++I) {
    if (rendezvousWeight(Name, I) > rendezvousWeight(Name, Best)) {
      Best = I;
    }
  }
  return Best;
}

/// Nodes of a failure domain, or of all if it is empty, that may own cells:
/// live routers that are not draining. Voters are used only if there is no
/// other router, because they have other work and restart more often.
std::vector<node_id>
eligibleOwners(const std::vector<membership::live_node> &Nodes,
               std::string_view FailureDomain) {
  std::vector<node_id> NonVoters;
  std::vector<node_id> Voters;
  for (const auto &Node : Nodes) {
    if (Node.Info.TrafficAddress.empty() || Node.Suspected || Node.Leaving) {
      continue;
    }
    if (!FailureDomain.empty() && Node.Info.FailureDomain != FailureDomain) {
      continue;
    }
    (Node.Info.IsControl ? Voters : NonVoters).push_back(Node.Info.Node);
  }
  return NonVoters.empty() ? Voters : NonVoters;
}

/// A number in (0, 1) that depends on the hash only.
double uniform(std::uint64_t Hash) {
  return (static_cast<double>(Hash >> 11U) + 0.5) /
         static_cast<double>(std::uint64_t{1} << 53U);
}

std::optional<node_id> selectOwner(const cell_key &Key,
                                   const std::vector<node_id> &Candidates) {
  const std::string Name = Key.Service + "#" + std::to_string(Key.Index);
  const auto Best = std::max_element(
      Candidates.begin(), Candidates.end(), [&](node_id Left, node_id Right) {
        return rendezvousWeight(Name, number(Left)) <
               rendezvousWeight(Name, number(Right));
      });
  return Best == Candidates.end() ? std::nullopt : std::optional(*Best);
}

} // namespace

std::vector<cell> assignCells(std::string_view Service,
                              const std::vector<upstream_info> &Upstreams,
                              const std::vector<membership::live_node> &Nodes) {
  std::map<std::string, std::vector<const upstream_info *>> Groups;
  const bool IsSingleCell = Upstreams.size() <= MaxSingleCellUpstreams;
  for (const auto &Info : Upstreams) {
    Groups[IsSingleCell ? std::string() : Info.FailureDomain].push_back(&Info);
  }
  const auto AnyCandidates = eligibleOwners(Nodes, {});
  std::vector<cell> Cells;
  std::uint32_t First = 0;
  for (const auto &[Domain, GroupUpstreams] : Groups) {
    const auto Count = static_cast<std::uint32_t>(
        IsSingleCell ? 1
                     : (GroupUpstreams.size() + MeanCellUpstreams - 1) /
                           MeanCellUpstreams);
    const auto NearCandidates = eligibleOwners(Nodes, Domain);
    const auto &Candidates =
        NearCandidates.empty() ? AnyCandidates : NearCandidates;
    for (std::uint32_t I = First; I < First + Count; ++I) {
      cell Cell;
      Cell.Key = {std::string(Service), I};
      Cell.FailureDomain = Domain;
      Cell.Owner = selectOwner(Cell.Key, Candidates);
      Cells.push_back(std::move(Cell));
    }
    for (const auto *Info : GroupUpstreams) {
      auto &Cell = Cells[rendezvousPick(Info->Name, First, Count)];
      Cell.Upstreams.push_back(*Info);
      Cell.UsableCount += Info->Usable ? 1 : 0;
    }
    First += Count;
  }
  return Cells;
}

const cell *chooseCell(const std::vector<cell> &Cells, std::uint64_t Affinity,
                       const cell_filter &Accept) {
  const cell *Best = nullptr;
  double BestScore = 0;
  for (const auto &Cell : Cells) {
    if (Cell.UsableCount == 0 || !Accept(Cell)) {
      continue;
    }
    // Weighted rendezvous hashing: cells receive requests in proportion to
    // their usable upstreams.
    const double Score = static_cast<double>(Cell.UsableCount) /
                         -std::log(uniform(rendezvousWeight(
                             Cell.Key.Service, Affinity + Cell.Key.Index)));
    if (Best == nullptr || Score > BestScore) {
      Best = &Cell;
      BestScore = Score;
    }
  }
  return Best;
}

const cell *
chooseNearCell(const std::vector<cell> &Cells, std::uint64_t Affinity,
               std::string_view FailureDomain,
               const std::function<double(const cell &)> &BusyShare) {
  const auto IsNear = [&](const cell &Cell) {
    return Cell.FailureDomain.empty() || Cell.FailureDomain == FailureDomain;
  };
  const auto *Near = chooseCell(Cells, Affinity, IsNear);
  if (Near == nullptr) {
    return chooseCell(Cells, Affinity);
  }
  const double NearFraction =
      std::max(MinNearFraction, (1 - BusyShare(*Near)) / (1 - SpillBusyShare));
  if (uniform(hash64("spill", Affinity)) < NearFraction) {
    return Near;
  }
  const auto *Far = chooseCell(Cells, Affinity,
                               [&](const cell &Cell) { return !IsNear(Cell); });
  const bool Better = Far != nullptr && BusyShare(*Far) < BusyShare(*Near);
  return Better ? Far : Near;
}

} // namespace arbutus::balance
