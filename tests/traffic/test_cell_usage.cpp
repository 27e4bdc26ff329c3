#include "traffic/cell_usage.h"
#include <catch2/catch.hpp>

#include <string>

using namespace arbutus;
using namespace arbutus::traffic;

// Guards against logs that cannot show which team a contended cell has left
// out, and against lines in quiet seconds.
TEST_CASE("a contended second shows what each team asked for and got") {
  constexpr instant Start(100s);
  struct row {
    std::string What;
    bool Refused;
    duration After;
    std::size_t Reported;
  };
  for (const auto &Row :
       {row{"contended", true, 1s, 6}, row{"second not over", true, 900ms, 0},
        row{"nothing refused", false, 1s, 0}}) {
    CAPTURE(Row.What);
    cell_usage Usage;
    CHECK(Usage.endInterval(Start).empty());
    for (int Team = 1; Team <= 9; ++Team) {
      Usage.recordAsked("t" + std::to_string(Team), Team * 100);
    }
    Usage.recordSent("t9", 50);
    if (Row.Refused) {
      Usage.recordRefused("t8");
      Usage.recordExpired("t8");
    }
    const auto Reported = Usage.endInterval(Start + Row.After);
    REQUIRE(Reported.size() == Row.Reported);
    if (Reported.empty()) {
      continue;
    }
    CHECK(Reported[0].first == "t9");
    CHECK(Reported[0].second.SentCost == 50);
    CHECK(Reported[0].second.SentRequests == 1);
    CHECK(Reported[1].second.AskedCost == 800);
    CHECK(Reported[1].second.Refused == 1);
    CHECK(Reported[1].second.Expired == 1);
    CHECK(Usage.endInterval(Start + Row.After + 1s).empty());
  }
}
