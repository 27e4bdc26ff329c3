#include "router/address_answer.h"

#include "base/digest.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace arbutus::router {

namespace {

struct ranked_node {
  bool OtherRegion = false;
  std::uint64_t Rank = 0;
  const control::live_node *Node = nullptr;
};

} // namespace

std::string addressAnswer(const std::vector<control::live_node> &Nodes,
                          const address_query &Query, std::uint32_t TtlMs) {
  const std::uint64_t Seed = hash64(Query.ClientAddress, hash64(Query.Team));
  std::vector<ranked_node> Ranked;
  for (const auto &Node : Nodes) {
    if (Node.Info.Router && !Node.Suspected && !Node.Leaving) {
      const auto Id = fmt::format("{}", number(Node.Info.Node));
      Ranked.push_back(
          {!Query.Region.empty() && Node.Info.Region != Query.Region,
           hash64(Id, Seed), &Node});
    }
  }
  std::sort(Ranked.begin(), Ranked.end(), [](const auto &A, const auto &B) {
    return std::tie(A.OtherRegion, A.Rank) < std::tie(B.OtherRegion, B.Rank);
  });
  nlohmann::ordered_json Answer;
  Answer["ttl_ms"] = TtlMs;
  Answer["addresses"] = nlohmann::ordered_json::array();
  for (const auto &Entry : Ranked) {
    Answer["addresses"].push_back(
        {{"address", Entry.Node->Info.HttpAddress},
         {"failure_domain", Entry.Node->Info.FailureDomain}});
  }
  return Answer.dump();
}

} // namespace arbutus::router
