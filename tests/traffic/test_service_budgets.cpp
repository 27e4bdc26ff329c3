#include "traffic/service_budgets.h"
#include <catch2/catch.hpp>

#include <vector>

using namespace arbutus::traffic;

namespace {

/// A small service that refuses everything, beside a large one that works.
struct refusing_service {
  int Routers = 1;
  double Ratio = 0.2;
  double AllowedBurst = 60;
  int SmallPerSecond = 25;
  int LargePerSecond = 170;
  int Seconds = 10;
};

/// Number of retries of the fleet at the small service if each request to it is
/// refused and retried immediately.
int retriesAtSmall(const refusing_service &Load) {
  std::vector<service_budgets> Fleet;
  for (int I = 0; I < Load.Routers; ++I) {
    Fleet.emplace_back(retry_limits{10, Load.AllowedBurst * 2 / 3});
    Fleet.back().setRouters(static_cast<std::size_t>(Load.Routers));
  }
  std::size_t Next = 0;
  const auto Router = [&]() -> service_budgets & {
    return Fleet[Next++ % Fleet.size()];
  };
  int Retries = 0;
  for (int Second = -Load.Seconds; Second < Load.Seconds; ++Second) {
    for (int I = 0; I < Load.LargePerSecond; ++I) {
      Router().deposit("large");
    }
    for (int I = 0; I < Load.SmallPerSecond; ++I) {
      auto &Budgets = Router();
      Budgets.deposit("small");
      if (Second >= 0) {
        for (int Try = 0; Try < 2; ++Try) {
          Retries += Budgets.tryWithdraw("small") ? 1 : 0;
        }
      }
    }
  }
  return Retries;
}

} // namespace

// Guards against a service that refuses everything using the retry budget that
// requests to another service have deposited, and against a full maximum
// balance on each router: with 20 on each of twelve routers, the fleet exceeded
// the limit for the small service's traffic by far.
TEST_CASE(
    "retries at a service that refuses requests stay within the fleet limit") {
  const std::vector<refusing_service> Rows = {
      {1}, {10}, {12}, {96, 0.2, 232, 140, 970}, {66, 0.2, 172, 316, 2170}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Routers);
    const double Allowed =
        Row.Ratio * Row.SmallPerSecond * Row.Seconds + Row.AllowedBurst;
    const int Retries = retriesAtSmall(Row);
    CHECK(Retries <= Allowed);
    CHECK(Retries >= Row.SmallPerSecond * Row.Seconds / 20);
  }
}

// Guards against a fleet that accumulates more retries each time its routers
// change.
TEST_CASE("the maximum balance follows the number of routers") {
  service_budgets Budgets(retry_limits{10, 40});
  for (int I = 0; I < 1000; ++I) {
    Budgets.deposit("s");
  }
  Budgets.setRouters(20);
  int Retries = 0;
  while (Budgets.tryWithdraw("s")) {
    ++Retries;
  }
  CHECK(Retries == 2);
}
