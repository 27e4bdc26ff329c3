#include "router/address_ranker.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace arbutus;
using namespace arbutus::router;

namespace {

std::vector<address_node> fleet(std::size_t Count) {
  std::vector<address_node> Nodes;
  Nodes.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Nodes.push_back({node_id{static_cast<std::uint32_t>(I + 1)},
                     "d" + std::to_string(I % 3), "r" + std::to_string(I % 2),
                     "127.0.0.1:" + std::to_string(1000 + I)});
  }
  return Nodes;
}

std::string client(std::size_t I) {
  return "10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250);
}

} // namespace

// Guards against a node that too many callers get as their first address. The
// target is at most 1.5 times the mean.
TEST_CASE("10,000 callers spread evenly over the first addresses") {
  for (const std::size_t Count : {12U, 690U}) {
    for (const std::uint64_t Seed : {1U, 2U, 3U}) {
      CAPTURE(Count, Seed);
      const auto Nodes = fleet(Count);
      address_ranker Ranker(Seed);
      std::vector<double> First(Count);
      for (std::size_t I = 0; I < 10000; ++I) {
        const auto Team = "team-" + std::to_string(I % 16);
        ++First[Ranker.rank(Nodes, {Team, client(I), ""}).front()];
      }
      const double Mean = 10000.0 / static_cast<double>(Count);
      CHECK(*std::max_element(First.begin(), First.end()) <= 1.5 * Mean);
    }
  }
}

// Guards against an order that lacks a node, changes for the same caller, or
// has two nodes of one failure domain before one of each other domain.
TEST_CASE("an order is complete, stable and alternates failure domains") {
  const auto Nodes = fleet(12);
  address_ranker Ranker(1);
  const caller_info Caller{"team", "10.0.0.1", ""};
  const auto First = Ranker.rank(Nodes, Caller);
  CHECK(std::set<std::size_t>(First.begin(), First.end()).size() == 12);
  for (std::size_t I = 0; I < 12; I += 3) {
    std::set<std::string> Domains;
    for (std::size_t J = I; J < I + 3; ++J) {
      Domains.insert(Nodes[First[J]].FailureDomain);
    }
    CHECK(Domains.size() == 3);
  }
  for (std::size_t I = 0; I < 1200; ++I) {
    (void)Ranker.rank(Nodes, {"other", client(I), ""});
  }
  CHECK(Ranker.rank(Nodes, Caller) == First);
  CHECK(Ranker.rank({}, Caller).empty());
}

// Guards against callers that are sent to another region needlessly.
TEST_CASE("nodes of the caller's region come first") {
  const auto Nodes = fleet(12);
  address_ranker Ranker(1);
  for (std::size_t I = 0; I < 200; ++I) {
    const auto Ordered = Ranker.rank(Nodes, {"team", client(I), "r1"});
    for (std::size_t J = 0; J < 12; ++J) {
      CHECK((Nodes[Ordered[J]].Region == "r1") == (J < 6));
    }
  }
}
