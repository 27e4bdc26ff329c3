#include "balance/cell_map.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

std::vector<upstream_info> upstreams(std::uint32_t Count) {
  std::vector<upstream_info> List;
  for (std::uint32_t I = 1; I <= Count; ++I) {
    upstream_info Info;
    Info.Id = upstream_id{I};
    Info.Name = "i-" + std::to_string(I);
    Info.FailureDomain = std::string(1, static_cast<char>('a' + I % 3));
    List.push_back(Info);
  }
  return List;
}

std::vector<membership::live_node> routers(std::uint32_t Count) {
  std::vector<membership::live_node> Nodes(Count);
  for (std::uint32_t I = 0; I < Count; ++I) {
    Nodes[I].Info.Node = node_id{I + 1};
    Nodes[I].Info.TrafficAddress = "10.0.0." + std::to_string(I + 1) + ":80";
    Nodes[I].Info.IsControl = I < 3;
  }
  return Nodes;
}

std::map<std::uint32_t, std::uint32_t>
cellByUpstream(const std::vector<cell> &Cells) {
  std::map<std::uint32_t, std::uint32_t> CellOf;
  for (const auto &Cell : Cells) {
    for (const auto &Info : Cell.Upstreams) {
      CellOf[number(Info.Id)] = Cell.Key.Index;
    }
  }
  return CellOf;
}

} // namespace

// Guards against upstreams without a cell, and against cells too large for one
// router to schedule.
TEST_CASE("every upstream is in one cell of bounded size") {
  struct row {
    std::uint32_t Upstreams;
    std::size_t Cells;
  };
  for (const auto &Row :
       std::vector<row>{{0, 1}, {1, 1}, {12, 1}, {16, 1}, {60, 6}, {140, 15}}) {
    CAPTURE(Row.Upstreams);
    const auto Cells = assignCells("s", upstreams(Row.Upstreams), routers(12));
    CHECK((Row.Upstreams == 0 || Cells.size() == Row.Cells));
    CHECK(cellByUpstream(Cells).size() == Row.Upstreams);
    for (const auto &Cell : Cells) {
      CHECK(Cell.Upstreams.size() <= 32);
      REQUIRE(Cell.Owner);
      CHECK(number(*Cell.Owner) > 3); // voters have other work
    }
  }
}

// Guards against a change of one node or upstream that moves the other cells or
// upstreams.
TEST_CASE("a change moves as few cells as possible") {
  const auto Before = assignCells("s", upstreams(60), routers(12));
  auto Fewer = upstreams(60);
  Fewer.pop_back();
  CHECK(cellByUpstream(assignCells("s", Fewer, routers(12))).size() == 59);
  auto Moved = cellByUpstream(Before);
  std::size_t Same = 0;
  for (const auto &[Id, Cell] :
       cellByUpstream(assignCells("s", Fewer, routers(12)))) {
    Same += Moved[Id] == Cell ? 1 : 0;
  }
  CHECK(Same == 59);
  auto Nodes = routers(12);
  const node_id Departed = *Before[0].Owner;
  std::erase_if(Nodes, [Departed](const auto &Node) {
    return Node.Info.Node == Departed;
  });
  const auto After = assignCells("s", upstreams(60), Nodes);
  for (std::size_t I = 0; I < Before.size(); ++I) {
    CAPTURE(I);
    CHECK((Before[I].Owner == Departed || After[I].Owner == Before[I].Owner));
    CHECK(After[I].Owner != Departed);
  }
}

// Guards against cell owners that do not reply.
TEST_CASE("only live routers that are not draining own cells") {
  struct row {
    std::string What;
    bool Suspected;
    bool Leaving;
    bool Serves;
    bool Owns;
  };
  for (const auto &Row :
       std::vector<row>{{"live", false, false, true, true},
                        {"suspected", true, false, true, false},
                        {"leaving", false, true, true, false},
                        {"no router", false, false, false, false}}) {
    CAPTURE(Row.What);
    auto Nodes = routers(1);
    Nodes[0].Suspected = Row.Suspected;
    Nodes[0].Leaving = Row.Leaving;
    if (!Row.Serves) {
      Nodes[0].Info.TrafficAddress.clear();
    }
    const auto Cells = assignCells("s", upstreams(3), Nodes);
    REQUIRE(Cells.size() == 1);
    CHECK(Cells[0].Owner.has_value() == Row.Owns);
  }
}

// Guards against requests to cells without usable upstreams, and against one
// cell that receives most of the requests.
TEST_CASE("cells receive requests in proportion to their usable upstreams") {
  auto List = upstreams(60);
  for (auto &Info : List) {
    Info.Usable = Info.FailureDomain != "b";
  }
  const auto Cells = assignCells("s", List, routers(12));
  std::map<std::uint32_t, int> Chosen;
  constexpr int Requests = 20'000;
  for (std::uint64_t Affinity = 1; Affinity <= Requests; ++Affinity) {
    const auto *Cell = chooseCell(Cells, Affinity * 7919);
    REQUIRE(Cell != nullptr);
    ++Chosen[Cell->Key.Index];
  }
  for (const auto &Cell : Cells) {
    const auto Usable =
        std::count_if(Cell.Upstreams.begin(), Cell.Upstreams.end(),
                      [](const auto &Info) { return Info.Usable; });
    CAPTURE(Cell.Key.Index, Usable);
    const double Expected = Requests * static_cast<double>(Usable) / 40;
    CHECK(Chosen[Cell.Key.Index] >= 0.8 * Expected);
    CHECK(Chosen[Cell.Key.Index] <= 1.2 * Expected);
  }
  CHECK(chooseCell({}, 1) == nullptr);
}

// Guards against requests and control messages that cross failure domains
// although the own domain has an eligible router.
TEST_CASE("a cell is owned by a router of its failure domain") {
  struct row {
    std::string What;
    std::vector<std::string> RouterDomains;
    std::map<std::string, std::string> OwnerDomainByCellDomain;
  };
  const std::vector<row> Rows = {
      {"routers everywhere",
       {"a", "b", "c", "a", "b", "c"},
       {{"a", "a"}, {"b", "b"}, {"c", "c"}}},
      {"a domain without routers",
       {"a", "b", "a", "b", "a", "b"},
       {{"a", "a"}, {"b", "b"}}},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    auto Nodes = routers(static_cast<std::uint32_t>(Row.RouterDomains.size()));
    std::map<node_id, std::string> DomainOf;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      Nodes[I].Info.FailureDomain = Row.RouterDomains[I];
      DomainOf[Nodes[I].Info.Node] = Row.RouterDomains[I];
    }
    for (const auto &Cell : assignCells("s", upstreams(60), Nodes)) {
      CAPTURE(Cell.Key.Index, Cell.FailureDomain);
      REQUIRE(Cell.Owner);
      const auto Wanted = Row.OwnerDomainByCellDomain.find(Cell.FailureDomain);
      CHECK((Wanted == Row.OwnerDomainByCellDomain.end() ||
             DomainOf[*Cell.Owner] == Wanted->second));
    }
  }
}

// Pattern: one failure domain has most of the callers. Guards against bodies
// that cross domains without need, and against callers that wait in their
// domain while the upstreams of the others are idle.
TEST_CASE("requests leave their failure domain as its upstreams get busy") {
  struct row {
    std::string What;
    double NearBusyShare;
    double FarBusyShare;
    bool NearUsable;
    double MinNear;
    double MaxNear;
  };
  const std::vector<row> Rows = {
      {"idle", 0, 0, true, 1, 1},
      {"a third busy", 0.33, 0, true, 1, 1},
      {"mostly busy", 0.7, 0.2, true, 0.3, 0.7},
      {"nearly all busy", 0.9, 0.2, true, 0.1, 0.3},
      {"all busy", 1, 0.2, true, 0.05, 0.15},
      {"the others are as busy", 1, 1, true, 1, 1},
      {"no usable upstream", 0, 0, false, 0, 0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    auto List = upstreams(60);
    for (auto &Info : List) {
      Info.Usable = Row.NearUsable || Info.FailureDomain != "b";
    }
    const auto Cells = assignCells("s", List, routers(12));
    const auto BusyShare = [&](const cell &Cell) {
      return Cell.FailureDomain == "b" ? Row.NearBusyShare : Row.FarBusyShare;
    };
    int Near = 0;
    constexpr int Requests = 5'000;
    for (std::uint64_t Affinity = 1; Affinity <= Requests; ++Affinity) {
      const auto *Cell = chooseNearCell(Cells, Affinity * 7919, "b", BusyShare);
      REQUIRE(Cell != nullptr);
      Near += Cell->FailureDomain == "b" ? 1 : 0;
      CHECK(chooseNearCell(Cells, Affinity * 7919, "b", BusyShare) == Cell);
    }
    CHECK(Near >= Row.MinNear * Requests);
    CHECK(Near <= Row.MaxNear * Requests);
  }
}

// A service with few upstreams has one cell for all domains.
TEST_CASE("a cell of all failure domains is near to every caller") {
  const auto Cells = assignCells("s", upstreams(12), routers(12));
  const auto Busy = [](const cell &) { return 1.0; };
  CHECK(chooseNearCell(Cells, 7, "a", Busy) == &Cells[0]);
  CHECK(chooseNearCell(Cells, 7, "z", Busy) == &Cells[0]);
}
