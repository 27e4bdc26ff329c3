#include "fault_schedule_runner.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::consensus;

// Guards against violations that need a combination of faults. bench/consensus
// runs many more seeds.
TEST_CASE("random fault schedules violate no invariant") {
  constexpr std::uint64_t Schedules = 300;
  fake::schedule_result Sum;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    const auto Result = fake::fault_schedule_runner(Seed).run();
    CAPTURE(Seed, Result.Violation);
    REQUIRE(Result.Violation.empty());
    fake::addCounts(Sum, Result);
  }
  // Without activity the schedules would check nothing.
  CHECK(Sum.LeaderTerms > Schedules);
  CHECK(Sum.Acknowledged > Schedules);
  CHECK(Sum.Reads > Schedules);
  CHECK(Sum.SnapshotRestores > Schedules);
  CHECK(Sum.MembershipChanges > Schedules);
  CHECK(Sum.Crashes > Schedules);
}
