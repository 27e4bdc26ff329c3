#include "control/order_simulation.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::control::testing;

// Guards against any order of freezes, cuts, resends, doubled messages and
// changes of the leader in which an older order replaces the newest
// acknowledged one.
TEST_CASE("random schedules leave the newest acknowledged order in force") {
  constexpr std::uint64_t Seeds = 200;
  int Acknowledged = 0;
  int Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    order_simulation Simulation(Seed);
    CHECK(Simulation.run(600s));
    Acknowledged += Simulation.Acknowledged;
    Refused += Simulation.Refused;
  }
  // The schedules reach what they are about.
  CHECK(Acknowledged > 100 * static_cast<int>(Seeds));
  CHECK(Refused > static_cast<int>(Seeds));
}
