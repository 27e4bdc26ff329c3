#include "router/address_order.h"

#include "base/digest.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace arbutus::router {

namespace {

/// Share of the mean above which a node is passed over. It leaves room below
/// the target of 1.5, because several routers answer at the same time.
constexpr double MostLoad = 1.25;
/// Answers per node after which all counts are halved, so that callers of the
/// past weigh less and less.
constexpr std::uint64_t CountedAnswers = 64;

struct candidate {
  std::size_t Index;
  bool SameRegion;
  std::uint64_t Score;
};

std::vector<candidate> rank(const std::vector<address_node> &Nodes,
                            const caller_hints &Caller, std::uint64_t Seed) {
  const std::uint64_t CallerHash =
      hash64(Caller.ClientAddress, hash64(Caller.Team, Seed));
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

/// Takes, round by round, the best node of each failure domain of a region
/// group, so that the next address survives the loss of the one before.
std::vector<std::size_t> alternate(const std::vector<address_node> &Nodes,
                                   const std::vector<candidate> &Ranked) {
  std::map<std::string_view, std::size_t> Taken;
  struct place {
    bool OtherRegion;
    std::size_t Round;
    std::size_t Rank;
    std::size_t Index;
  };
  std::vector<place> Places;
  Places.reserve(Ranked.size());
  for (std::size_t I = 0; I < Ranked.size(); ++I) {
    const auto Index = Ranked[I].Index;
    const auto Round = Taken[Nodes[Index].FailureDomain]++;
    Places.push_back({!Ranked[I].SameRegion, Round, I, Index});
  }
  std::sort(Places.begin(), Places.end(),
            [](const place &Left, const place &Right) {
              return std::tie(Left.OtherRegion, Left.Round, Left.Rank) <
                     std::tie(Right.OtherRegion, Right.Round, Right.Rank);
            });
  std::vector<std::size_t> Order;
  Order.reserve(Places.size());
  for (const auto &Place : Places) {
    Order.push_back(Place.Index);
  }
  return Order;
}

} // namespace

address_order::address_order(std::uint64_t Seed) noexcept : Seed(Seed) {}

std::vector<std::size_t>
address_order::order(const std::vector<address_node> &Nodes,
                     const caller_hints &Caller) {
  if (Nodes.empty()) {
    return {};
  }
  auto Ranked = rank(Nodes, Caller, Seed);
  // Only nodes that this caller may get first count for the mean.
  const bool Regional = Ranked.front().SameRegion;
  std::uint64_t Total = 0;
  std::size_t Eligible = 0;
  std::map<node_id, std::uint32_t> Counts;
  for (const auto &Candidate : Ranked) {
    const auto Node = Nodes[Candidate.Index].Node;
    const auto Found = First.find(Node);
    Counts[Node] = Found == First.end() ? 0 : Found->second;
    if (Candidate.SameRegion == Regional) {
      Total += Counts[Node];
      ++Eligible;
    }
  }
  const double Mean =
      static_cast<double>(Total + 1) / static_cast<double>(Eligible);
  const double Limit = MostLoad * Mean + 1;
  const auto Chosen =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const candidate &Node) {
        return Counts[Nodes[Node.Index].Node] + 1 <= Limit;
      });
  if (Chosen != Ranked.end() && Chosen->SameRegion == Regional) {
    std::rotate(Ranked.begin(), Chosen, Chosen + 1);
  }
  ++Counts[Nodes[Ranked.front().Index].Node];
  const bool Halve = Total + 1 >= CountedAnswers * Eligible;
  for (auto &[Node, Count] : Counts) {
    Count = Halve ? Count / 2 : Count;
  }
  // Nodes that have left are forgotten here.
  First = std::move(Counts);
  return alternate(Nodes, Ranked);
}

} // namespace arbutus::router
