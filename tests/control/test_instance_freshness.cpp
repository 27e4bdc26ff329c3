#include "control/instance_freshness.h"
#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr instant Start(100s);

} // namespace

// Guards against routers that send requests by an old list of instances because
// nothing tells them how old it is.
TEST_CASE("the age of a router's list follows from the revision it has") {
  struct row {
    std::string Name;
    std::function<void(instance_freshness &)> Events;
    std::uint64_t Applied;
    /// Age at `Start + 1s`; nothing if unknown.
    std::optional<duration> Age;
  };
  const auto Stored = [](instance_freshness &Record, duration ReadAt,
                         std::uint64_t Revision) {
    Record.onStored(Start + ReadAt, revision{Revision});
  };
  const std::vector<row> Rows = {
      {"a new leader has not read the list", [](auto &) {}, 7, std::nullopt},
      {"the router has the newest read",
       [&](auto &Record) { Stored(Record, 400ms, 7); }, 7, 600ms},
      {"a later revision has nothing to do with the list",
       [&](auto &Record) { Stored(Record, 400ms, 7); }, 9, 600ms},
      {"the list has not changed since",
       [&](auto &Record) {
         Stored(Record, 0ms, 7);
         Stored(Record, 800ms, 7);
       },
       7, 200ms},
      {"the router lacks the newest read",
       [&](auto &Record) {
         Stored(Record, 0ms, 7);
         Stored(Record, 800ms, 8);
       },
       7, 1000ms},
      {"the router lacks all reads",
       [&](auto &Record) { Stored(Record, 400ms, 7); }, 6, std::nullopt},
      {"reads are stored in another order than they began",
       [&](auto &Record) {
         Stored(Record, 800ms, 8);
         Stored(Record, 400ms, 9);
       },
       9, 200ms},
      {"the server does not answer",
       [&](auto &Record) {
         Stored(Record, 0ms, 7);
         Record.onServerUnavailable();
       },
       7, 0ms},
      {"the server answers again",
       [&](auto &Record) {
         Record.onServerUnavailable();
         Stored(Record, 900ms, 7);
       },
       7, 100ms},
      {"a new term",
       [&](auto &Record) {
         Stored(Record, 900ms, 7);
         Record.reset();
       },
       7, std::nullopt},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    instance_freshness Record;
    Row.Events(Record);
    const auto Age = Record.ageAt(revision{Row.Applied}, Start + 1s);
    REQUIRE(Age.has_value() == Row.Age.has_value());
    if (Age) {
      CHECK(toMicros(*Age) == toMicros(*Row.Age));
    }
  }
}
