#include "traffic/router_addresses.h"
#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;

namespace {

/// Routers in the failure domains a, b and c, with the given number in each.
std::vector<membership::live_node> routers(int A, int B, int C) {
  std::vector<membership::live_node> Nodes;
  const int Counts[] = {A, B, C};
  for (int Domain = 0; Domain < 3; ++Domain) {
    for (int I = 0; I < Counts[Domain]; ++I) {
      membership::live_node Node;
      Node.Info.FailureDomain = std::string(1, static_cast<char>('a' + Domain));
      Node.Info.Region = "r";
      Node.Info.TrafficAddress =
          Node.Info.FailureDomain + std::to_string(I) + ":80";
      Nodes.push_back(Node);
    }
  }
  return Nodes;
}

std::set<char> domainsOf(const std::vector<std::string> &Addresses) {
  std::set<char> Domains;
  for (const auto &Address : Addresses) {
    Domains.insert(Address.front());
  }
  return Domains;
}

} // namespace

// Guards against directing all callers of a failure domain to its few remaining
// routers, which then run out of file descriptors, and against responses that
// are too long.
TEST_CASE("callers get routers of their failure domain while enough are left") {
  struct row {
    std::string What;
    int A, B, C;
    std::string Domain;
    std::size_t Addresses;
    std::set<char> Domains;
  };
  const std::vector<row> Rows = {
      {"their own", 4, 3, 3, "a", 4, {'a'}},
      {"two of a small fleet", 2, 3, 3, "a", 2, {'a'}},
      {"one is too few", 1, 3, 3, "a", 7, {'a', 'b', 'c'}},
      {"two of a large fleet are too few", 2, 32, 32, "a", 64, {'a', 'b', 'c'}},
      {"half of the usual number", 16, 32, 32, "a", 16, {'a'}},
      {"no router in the domain", 0, 3, 3, "a", 6, {'b', 'c'}},
      {"an unknown domain", 4, 3, 3, "x", 10, {'a', 'b', 'c'}},
      {"a large domain", 80, 80, 80, "b", 64, {'b'}},
      {"nobody", 0, 0, 0, "a", 0, {}},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    const auto Addresses =
        selectRouterAddresses(routers(Row.A, Row.B, Row.C), {"r", Row.Domain});
    CHECK(Addresses.size() == Row.Addresses);
    CHECK(std::set<std::string>(Addresses.begin(), Addresses.end()).size() ==
          Row.Addresses);
    CHECK(domainsOf(Addresses) == Row.Domains);
  }
}

// Guards against addresses of routers that do not respond.
TEST_CASE("routers that cannot serve are left out") {
  auto Nodes = routers(4, 0, 0);
  Nodes[0].Suspected = true;
  Nodes[1].Leaving = true;
  Nodes[2].Info.TrafficAddress.clear();
  CHECK(selectRouterAddresses(Nodes, {"r", "a"}) ==
        std::vector<std::string>{"a3:80"});
}
