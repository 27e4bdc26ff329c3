#include "membership/grantor_placement.h"
#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace arbutus;
using namespace arbutus::membership;

namespace {

live_node router(std::uint32_t Node, const std::string &Domain) {
  live_node Router;
  Router.Info.Node = node_id{Node};
  Router.Info.FailureDomain = Domain;
  Router.Info.IsRouter = true;
  Router.Incarnation = incarnation{5};
  return Router;
}

std::vector<live_node> fleet() {
  return {router(1, "a"), router(2, "a"), router(3, "b"), router(4, "b")};
}

} // namespace

// Guards against a pool that keeps a grantor that cannot serve, and against a
// move without a reason.
TEST_CASE("a grantor moves only for a reason") {
  struct row {
    std::string Name;
    std::function<void(live_node &)> Adjust;
    std::set<std::string> OutOfServiceDomains;
    std::optional<move_reason> Expected;
  };
  const auto Nothing = [](live_node &) {};
  const std::vector<row> Rows = {
      {"working", Nothing, {}, std::nullopt},
      {"other domain out of service", Nothing, {"b"}, std::nullopt},
      {"every domain out of service", Nothing, {"a", "b"}, std::nullopt},
      {"domain out of service",
       Nothing,
       {"a"},
       move_reason::DomainOutOfService},
      {"suspected",
       [](live_node &Node) { Node.Suspected = true; },
       {},
       move_reason::GrantorSuspected},
      {"draining",
       [](live_node &Node) { Node.Leaving = true; },
       {},
       move_reason::GrantorLeaving},
      {"restarted",
       [](live_node &Node) { Node.Incarnation = incarnation{6}; },
       {},
       move_reason::GrantorRestarted},
      {"no router",
       [](live_node &Node) { Node.Info.IsRouter = false; },
       {},
       move_reason::GrantorGone},
      {"gone",
       [](live_node &Node) { Node.Info.Node = node_id{9}; },
       {},
       move_reason::GrantorGone},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    auto Nodes = fleet();
    Row.Adjust(Nodes[0]);
    const auto Moves =
        planGrantorMoves({{pool_id{7}, node_id{1}, incarnation{5}}}, Nodes,
                         Row.OutOfServiceDomains);
    REQUIRE(Moves.size() == (Row.Expected ? 1 : 0));
    if (Row.Expected) {
      CHECK(Moves[0].Reason == *Row.Expected);
      CHECK(Moves[0].From == node_id{1});
      const auto To = number(Moves[0].To);
      CHECK((Row.OutOfServiceDomains.empty() || To == 3 || To == 4));
    }
  }
}

// Guards against pools that all move to one node, and against a result that
// depends on the order of the list.
TEST_CASE("pools spread over the eligible routers") {
  std::vector<grantor_assignment> Pools;
  for (std::uint32_t Pool = 1; Pool <= 400; ++Pool) {
    Pools.push_back({pool_id{Pool}, std::nullopt, incarnation{}});
  }
  auto Nodes = fleet();
  const auto Moves = planGrantorMoves(Pools, Nodes, {});
  REQUIRE(Moves.size() == 400);
  std::map<node_id, int> Counts;
  for (const auto &Move : Moves) {
    ++Counts[Move.To];
  }
  for (const auto &Node : Nodes) {
    CHECK(Counts[Node.Info.Node] > 50);
  }
  std::swap(Nodes[0], Nodes[3]);
  CHECK(planGrantorMoves(Pools, Nodes, {}) == Moves);
  CHECK(planGrantorMoves(Pools, {}, {}).empty());
}
