#include "balance/cell_map.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace arbutus::balance {

namespace {

/// Upstreams up to which a service is one cell. One router can decide on the
/// requests of this many with a few hundredths of a core.
constexpr std::size_t MostInOneCell = 16;
/// Mean size of the cells of a larger service.
constexpr std::size_t CellSize = 10;

std::uint64_t weightOf(std::string_view Name, std::uint64_t Candidate) {
  return hash64(Name, Candidate * 0x9e3779b97f4a7c15U + 1);
}

/// Candidate with the largest weight for a name (rendezvous hashing).
std::uint32_t bestOf(std::string_view Name, std::uint32_t First,
                     std::uint32_t Count) {
  std::uint32_t Best = First;
  for (std::uint32_t I = First; I < First + Count; ++I) {
    if (weightOf(Name, I) > weightOf(Name, Best)) {
      Best = I;
    }
  }
  return Best;
}

/// Nodes that may own cells: live routers, those without a disk first, because
/// voters have other work and suffer more restarts.
std::vector<node_id> owners(const std::vector<membership::live_node> &Nodes) {
  std::vector<node_id> Plain;
  std::vector<node_id> Voters;
  for (const auto &Node : Nodes) {
    if (Node.Info.TrafficAddress.empty() || Node.Suspected || Node.Leaving) {
      continue;
    }
    (Node.Info.IsControl ? Voters : Plain).push_back(Node.Info.Node);
  }
  return Plain.empty() ? Voters : Plain;
}

std::optional<node_id> ownerOf(const cell_key &Key,
                               const std::vector<node_id> &Candidates) {
  const std::string Name = Key.Service + "#" + std::to_string(Key.Index);
  const auto Best = std::max_element(
      Candidates.begin(), Candidates.end(), [&](node_id Left, node_id Right) {
        return weightOf(Name, number(Left)) < weightOf(Name, number(Right));
      });
  return Best == Candidates.end() ? std::nullopt : std::optional(*Best);
}

} // namespace

std::vector<cell> assignCells(std::string_view Service,
                              const std::vector<upstream_info> &Upstreams,
                              const std::vector<membership::live_node> &Nodes) {
  std::map<std::string, std::vector<const upstream_info *>> Groups;
  const bool Single = Upstreams.size() <= MostInOneCell;
  for (const auto &Facts : Upstreams) {
    Groups[Single ? std::string() : Facts.FailureDomain].push_back(&Facts);
  }
  const auto Candidates = owners(Nodes);
  std::vector<cell> Cells;
  std::uint32_t First = 0;
  for (const auto &[Domain, Members] : Groups) {
    const auto Count = static_cast<std::uint32_t>(
        Single ? 1 : (Members.size() + CellSize - 1) / CellSize);
    for (std::uint32_t I = First; I < First + Count; ++I) {
      cell Cell;
      Cell.Key = {std::string(Service), I};
      Cell.Owner = ownerOf(Cell.Key, Candidates);
      Cells.push_back(std::move(Cell));
    }
    for (const auto *Facts : Members) {
      Cells[bestOf(Facts->Name, First, Count)].Upstreams.push_back(*Facts);
    }
    First += Count;
  }
  return Cells;
}

const cell *chooseCell(const std::vector<cell> &Cells, std::uint64_t Affinity) {
  const cell *Best = nullptr;
  double BestScore = 0;
  for (const auto &Cell : Cells) {
    const auto Usable =
        std::count_if(Cell.Upstreams.begin(), Cell.Upstreams.end(),
                      [](const auto &Facts) { return Facts.Usable; });
    if (Usable == 0) {
      continue;
    }
    // Weighted rendezvous hashing: cells get requests in proportion to their
    // usable upstreams.
    const double Point =
        (static_cast<double>(
             weightOf(Cell.Key.Service, Affinity + Cell.Key.Index) >> 11U) +
         0.5) /
        static_cast<double>(std::uint64_t{1} << 53U);
    const double Score = static_cast<double>(Usable) / -std::log(Point);
    if (Best == nullptr || Score > BestScore) {
      Best = &Cell;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace arbutus::balance
