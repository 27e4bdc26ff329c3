#include "net/stall_detector.h"
#include <catch2/catch.hpp>

#include <vector>

using namespace arbutus;
using namespace arbutus::net;

// Guards against a frozen process that takes what it reads after it wakes for
// something that has just arrived.
TEST_CASE("bytes read after a stall may have arrived when it began") {
  struct row {
    const char *What;
    std::vector<duration> Turns;
    duration ReadAt;
    duration EarliestArrival;
  };
  const std::vector<row> Rows = {
      {"before the first turn", {}, 5s, 5s},
      {"turns on time", {1s, 1100ms, 1200ms}, 1250ms, 1250ms},
      {"a turn that is a little late", {1s, 1300ms}, 1350ms, 1350ms},
      {"read by the first turn after a stall", {1s}, 5s, 1s},
      {"read soon after a stall", {1s, 5s, 5100ms}, 5150ms, 1s},
      {"read after the loop has caught up",
       {1s, 5s, 5100ms, 5200ms, 5300ms, 5400ms, 5500ms, 5600ms, 5700ms, 5800ms,
        5900ms, 6s, 6100ms},
       6150ms,
       6150ms},
      {"two stalls in a row", {1s, 5s, 5100ms, 8s}, 8010ms, 1s},
      {"two stalls far apart",
       {1s, 2s, 2300ms, 2600ms, 2900ms, 3200ms, 3500ms, 6s},
       6010ms,
       3500ms},
  };
  const instant Start = instantFromMicros(0);
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    stall_record Record;
    for (const auto Turn : Row.Turns) {
      Record.onTurn(Start + Turn);
    }
    CHECK(Record.earliestArrival(Start + Row.ReadAt) ==
          Start + Row.EarliestArrival);
  }
}
