#include "balance/rate_limit.h"
#include <catch2/catch.hpp>

#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr instant Start(100s);

} // namespace

// Guards against a scheduler that sends more than its part of the limit that an
// upstream has named, and against one that uses less than the limit (LIMIT).
TEST_CASE("a limited upstream gets requests at the rate that it has named") {
  struct row {
    double PerSecond;
    std::uint32_t Schedulers;
    double MinSent; ///< in 10 s
    double MaxSent;
  };
  const std::vector<row> Rows = {
      {6, 1, 58, 63}, {4.8, 1, 46, 51}, {0.5, 1, 5, 6},      {12, 12, 10, 12},
      {6, 12, 5, 6},  {0, 1, 1, 2},     {200, 1, 990, 2100},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.PerSecond, Row.Schedulers);
    rate_limit Limit;
    Limit.setShare(Row.Schedulers, 0);
    CHECK(Limit.record(Row.PerSecond, Start, Start));
    int Sent = 0;
    for (instant Now = Start; Now < Start + 10s; Now += 10ms) {
      if (Limit.allowsRequest(Now)) {
        Limit.recordSend(Now);
        ++Sent;
      }
    }
    CHECK(Sent >= Row.MinSent);
    CHECK(Sent <= Row.MaxSent);
  }
}

// Guards against routers that lose the owner of a cell and then all send a
// request at once to an upstream that takes few (LIMIT). The owner has sent up
// to the limit; the users' rule leaves half of the limit of 4 s and five
// requests.
TEST_CASE("routers without an owner keep to the limit together") {
  constexpr std::uint32_t Routers = 12;
  for (const double PerSecond : {0.5, 1.2, 1.6, 2.3, 6.0}) {
    for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
      CAPTURE(PerSecond, Seed);
      std::mt19937 Random(Seed);
      std::uniform_real_distribution<double> Phase(0, 1);
      std::vector<rate_limit> Limits(Routers);
      for (auto &Limit : Limits) {
        Limit.setShare(Routers, Phase(Random));
        Limit.record(PerSecond, Start, Start);
      }
      // A new owner takes the cell within a second.
      int Sent = 0;
      for (instant Now = Start + 6s; Now < Start + 7s; Now += 10ms) {
        for (auto &Limit : Limits) {
          if (Limit.allowsRequest(Now)) {
            Limit.recordSend(Now);
            ++Sent;
          }
        }
      }
      CHECK(Sent <= 0.5 * 4 * PerSecond + 5);
    }
  }
}

// Guards against a burst after a pause in which the upstream got nothing.
TEST_CASE("an unused limit does not add up") {
  rate_limit Limit;
  CHECK(Limit.record(8, Start, Start));
  const instant Later = Start + 60s;
  int Sent = 0;
  for (; Limit.allowsRequest(Later); ++Sent) {
    Limit.recordSend(Later);
  }
  CHECK(Sent <= 4);
}

// Guards against a limit that ends because of an answer that is older, and
// against one that holds after the upstream has stopped naming it.
TEST_CASE("a limit holds until a later request is answered without it") {
  struct row {
    std::string What;
    std::optional<double> Named;
    duration SentAfter; ///< relative to the answer that named 5 a second
    std::optional<double> Holds;
  };
  const std::vector<row> Rows = {
      {"none, sent before", std::nullopt, -100ms, 5},
      {"none, sent after", std::nullopt, 100ms, std::nullopt},
      {"another one, sent before", 7, -100ms, 7},
      {"another one, sent after", 7, 100ms, 7},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    rate_limit Limit;
    CHECK_FALSE(Limit.recordAnswer(std::nullopt, Start, Start));
    CHECK(Limit.recordAnswer(5, Start, Start));
    const bool Changes = Row.Holds != std::optional<double>(5);
    CHECK(Limit.recordAnswer(Row.Named, Start + Row.SentAfter, Start + 1s) ==
          Changes);
    CHECK(Limit.perSecond() == Row.Holds);
  }
}

// Guards against the stale knowledge of one router that overrides what another
// one has learned since.
TEST_CASE("the newest answer decides between two schedulers") {
  rate_limit Limit;
  CHECK(Limit.record(5, Start + 2s, Start + 2s));
  CHECK_FALSE(Limit.record(9, Start + 1s, Start + 3s));
  CHECK(Limit.record(std::nullopt, Start + 4s, Start + 4s));
  CHECK_FALSE(Limit.record(5, Start + 3s, Start + 5s));
  CHECK(Limit.allowsRequest(Start + 5s));
}
