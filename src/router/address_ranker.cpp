#include "router/address_ranker.h"

#include "base/digest.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace arbutus::router {

namespace {

/// Multiple of the mean above which a node is not put first. It is below the
/// target of 1.5, because several routers respond at the same time and count
/// separately.
constexpr double MaxLoadFactor = 1.25;
/// Responses per node after which all counts are halved, so that older
/// responses weigh less.
constexpr std::uint64_t ResponsesBeforeHalving = 64;

struct candidate {
  std::size_t Index;
  bool SameRegion;
  std::uint64_t Score;
};

std::vector<candidate> rankByHash(const std::vector<address_node> &Nodes,
                                  const caller_info &Caller,
                                  std::uint64_t Seed) {
  const std::uint64_t CallerHash =
      hash64(Caller.Address, hash64(Caller.Team, Seed));
  std::vector<candidate> Ranked;
  Ranked.reserve(Nodes.size());
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    const auto Node = std::to_string(number(Nodes[I].Node));
    Ranked.push_back(
        {I, Nodes[I].Region == Caller.Region, hash64(Node, CallerHash)});
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const candidate &Left, const candidate &Right) {
              return Left.SameRegion != Right.SameRegion
                         ? Left.SameRegion
                         : Left.Score > Right.Score;
            });
  return Ranked;
}

/// Takes turns among the failure domains, the caller's region first, so that
/// the next address is usable when the failure domain of the one before is
/// lost.
std::vector<std::size_t>
interleaveFailureDomains(const std::vector<address_node> &Nodes,
                         const std::vector<candidate> &Ranked) {
  std::map<std::string_view, std::size_t> RoundByDomain;
  struct candidate_position {
    bool OtherRegion;
    std::size_t Round;
    std::size_t Rank;
    std::size_t Index;
  };
  std::vector<candidate_position> Positions;
  Positions.reserve(Ranked.size());
  for (std::size_t I = 0; I < Ranked.size(); ++I) {
    const auto Index = Ranked[I].Index;
    const auto Round = RoundByDomain[Nodes[Index].FailureDomain]++;
    Positions.push_back({!Ranked[I].SameRegion, Round, I, Index});
  }
  std::sort(
      Positions.begin(), Positions.end(),
      [](const candidate_position &Left, const candidate_position &Right) {
        return std::tie(Left.OtherRegion, Left.Round, Left.Rank) <
               std::tie(Right.OtherRegion, Right.Round, Right.Rank);
      });
  std::vector<std::size_t> Order;
  Order.reserve(Positions.size());
  for (const auto &Position : Positions) {
    Order.push_back(Position.Index);
  }
  return Order;
}

} // namespace

address_ranker::address_ranker(std::uint64_t Seed) noexcept : Seed(Seed) {}

std::vector<std::size_t>
address_ranker::rank(const std::vector<address_node> &Nodes,
                     const caller_info &Caller) {
  if (Nodes.empty()) {
    return {};
  }
  auto Ranked = rankByHash(Nodes, Caller, Seed);
  // The mean covers only nodes that this caller may get as first address.
  const bool HasSameRegion = Ranked.front().SameRegion;
  std::uint64_t Total = 0;
  std::size_t EligibleNodes = 0;
  std::map<node_id, std::uint32_t> Counts;
  for (const auto &Candidate : Ranked) {
    const auto Node = Nodes[Candidate.Index].Node;
    const auto Found = FirstChoiceCounts.find(Node);
    Counts[Node] = Found == FirstChoiceCounts.end() ? 0 : Found->second;
    if (Candidate.SameRegion == HasSameRegion) {
      Total += Counts[Node];
      ++EligibleNodes;
    }
  }
  const double Mean =
      static_cast<double>(Total + 1) / static_cast<double>(EligibleNodes);
  const double MaxCount = MaxLoadFactor * Mean + 1;
  const auto Chosen =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const candidate &Node) {
        return Counts[Nodes[Node.Index].Node] + 1 <= MaxCount;
      });
  if (Chosen != Ranked.end() && Chosen->SameRegion == HasSameRegion) {
    std::rotate(Ranked.begin(), Chosen, Chosen + 1);
  }
  ++Counts[Nodes[Ranked.front().Index].Node];
  const bool HalveCounts = Total + 1 >= ResponsesBeforeHalving * EligibleNodes;
  for (auto &[Node, Count] : Counts) {
    Count = HalveCounts ? Count / 2 : Count;
  }
  // Drops the counts of nodes that have left.
  FirstChoiceCounts = std::move(Counts);
  return interleaveFailureDomains(Nodes, Ranked);
}

} // namespace arbutus::router
