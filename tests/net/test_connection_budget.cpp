#include "net/connection_budget.h"
#include <catch2/catch.hpp>

#include <algorithm>

using namespace arbutus;
using namespace arbutus::net;

namespace {

/// An event loop with a queue of work: each admitted connection adds to it.
struct busy_loop {
  double ConnectionsPerSecond = 0;
  duration WorkEach{};
  duration Backlog = duration::zero();
  instant Now{};
  std::uint64_t Offered = 0;
  std::uint64_t Admitted = 0;
  duration WorstLag = duration::zero();

  explicit busy_loop(double Rate, duration Work)
      : ConnectionsPerSecond(Rate), WorkEach(Work), Now(instant() + 1h) {}

  /// Offers connections for so long and returns the admitted ones a second.
  double run(connection_budget &Budget, duration Time) {
    const instant Until = Now + Time;
    const auto Gap = duration(
        static_cast<std::int64_t>(1e6 / std::max(1.0, ConnectionsPerSecond)));
    std::uint64_t Taken = 0;
    while (Now < Until) {
      Now += Gap;
      Backlog = std::max(duration::zero(), Backlog - Gap);
      WorstLag = std::max(WorstLag, Backlog);
      ++Offered;
      if (Budget.admit(Now, Backlog)) {
        Backlog += WorkEach;
        ++Taken;
      }
    }
    Admitted += Taken;
    return static_cast<double>(Taken) / toSeconds(Time);
  }
};

constexpr duration LongestLag = 30ms;

} // namespace

// Pattern: one team floods a router. Guards against a router that takes all
// connections and answers none in time, and against one that refuses while it
// has processor time left. The naive rule takes every connection.
TEST_CASE("a flooded router admits what it can do and stays responsive") {
  struct row {
    double Offered;
    duration WorkEach;
  };
  for (const auto &Row : {row{640, 5ms}, row{1000, 5ms}, row{640, 2ms},
                          row{2000, 1ms}, row{300, 10ms}}) {
    CAPTURE(Row.Offered, Row.WorkEach.count());
    const double Capacity = 1.0 / toSeconds(Row.WorkEach);
    busy_loop Loop(Row.Offered, Row.WorkEach);
    connection_budget Budget(LongestLag);
    (void)Loop.run(Budget, 2s); // settles
    Loop.WorstLag = duration::zero();
    const double Rate = Loop.run(Budget, 10s);
    // More than the capacity can only come from work that was left at the end.
    const duration LongestBacklog = 8 * LongestLag;
    CHECK(Rate <= Capacity * (1 + toSeconds(LongestBacklog) / 10));
    CHECK(Rate >= 0.8 * Capacity);
    CHECK(Loop.WorstLag <= LongestBacklog);
    const double NaiveBacklog = (Row.Offered / Capacity - 1) * 10; // seconds
    CHECK(toSeconds(Loop.WorstLag) < NaiveBacklog / 4);
  }
}

// Guards against a limit that stays after the flood, or that a router without
// too much work ever sets.
TEST_CASE("a router that keeps up takes every connection") {
  busy_loop Calm(150, 5ms);
  connection_budget Budget(LongestLag);
  CHECK(Calm.run(Budget, 5s) == Approx(150).epsilon(0.02));
  CHECK(Budget.refused() == 0);
  Calm.ConnectionsPerSecond = 900;
  (void)Calm.run(Budget, 3s);
  CHECK(Budget.limited());
  Calm.ConnectionsPerSecond = 100;
  (void)Calm.run(Budget, 3s);
  CHECK_FALSE(Budget.limited());
  const auto Before = Budget.refused();
  (void)Calm.run(Budget, 3s);
  CHECK(Budget.refused() == Before);
}

// Guards against a measurement of long ago that limits the first callers after
// a quiet time.
TEST_CASE("an old measurement limits nothing") {
  busy_loop Loop(900, 5ms);
  connection_budget Budget(LongestLag);
  (void)Loop.run(Budget, 3s);
  REQUIRE(Budget.limited());
  const auto Before = Budget.refused();
  CHECK(Budget.admit(Loop.Now + 5s, duration::zero()));
  CHECK_FALSE(Budget.limited());
  CHECK(Budget.refused() == Before);
}
