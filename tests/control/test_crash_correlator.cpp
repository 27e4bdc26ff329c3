#include "base/ids.h"
#include "control/crash_correlator.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;
using router::segment_hash;
using router::upstream_run_hash;

namespace {

constexpr instant Start(100s);
constexpr segment_hash Segment{7};

/// What one router reports at a time after `Start`.
struct finding {
  duration At;
  /// Upstream that was lost on the segment; 0 for an answered request.
  std::uint64_t Upstream;
};

/// Plays the findings with a heartbeat of the leader each 100 ms and returns
/// how long after the first finding the segment was found guilty, or nothing.
std::optional<duration> guiltyAfter(const std::vector<finding> &Findings,
                                    duration Length) {
  crash_correlator Correlator;
  auto Next = Findings.begin();
  for (duration Now{}; Now <= Length; Now += 100ms) {
    for (; Next != Findings.end() && Next->At <= Now; ++Next) {
      router::crash_findings Heartbeat;
      if (Next->Upstream == 0) {
        Heartbeat.Cleared = {Segment};
      } else {
        Heartbeat.Crashes = {{Segment, upstream_run_hash{Next->Upstream}}};
      }
      Correlator.onFindings(Heartbeat, Start + Now);
    }
    (void)Correlator.suspects(Start + Now);
    if (!Correlator.takeGuilty(Start + Now).empty()) {
      return Now;
    }
  }
  return std::nullopt;
}

} // namespace

// Guards against a prompt segment that crashes one upstream after the other,
// and against an innocent one that is taken for it because it was on upstreams
// that were lost.
TEST_CASE(
    "a segment is guilty after several lost upstreams without an answer") {
  struct row {
    std::string Name;
    std::vector<finding> Findings;
    /// Negative if the segment is never found guilty.
    duration GuiltyAfter;
  };
  const std::vector<row> Rows = {
      {"three upstreams, one by one",
       {{0ms, 1}, {1000ms, 2}, {2000ms, 3}},
       2000ms},
      {"three upstreams at once: routers get time to clear it",
       {{0ms, 1}, {0ms, 2}, {0ms, 3}},
       700ms},
      {"two upstreams", {{0ms, 1}, {1000ms, 2}}, -1ms},
      {"one crash that three routers report",
       {{0ms, 1}, {100ms, 1}, {200ms, 1}},
       -1ms},
      {"one upstream that crashes again and again under one name",
       {{0ms, 1}, {3000ms, 1}, {6000ms, 1}},
       6000ms},
      {"a failure domain is lost; the segment is answered elsewhere",
       {{0ms, 1}, {0ms, 2}, {0ms, 3}, {0ms, 4}, {500ms, 0}},
       -1ms},
      {"answered between the crashes",
       {{0ms, 1},
        {500ms, 0},
        {1000ms, 2},
        {1500ms, 0},
        {2000ms, 3},
        {2300ms, 0}},
       -1ms},
      {"answered once, then it turns into one that crashes upstreams",
       {{0ms, 1}, {500ms, 0}, {1000ms, 2}, {2000ms, 3}, {3000ms, 4}},
       3000ms},
      {"crashes too far apart", {{0ms, 1}, {61s, 2}, {122s, 3}}, -1ms},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Found = guiltyAfter(Row.Findings, 130s);
    REQUIRE(Found.has_value() == (Row.GuiltyAfter >= 0ms));
    if (Found) {
      CHECK(toMicros(*Found) == toMicros(Row.GuiltyAfter));
    }
  }
}

// Guards against memory that grows with the number of reported segments.
TEST_CASE("the number of suspects is bounded and expired ones make room") {
  crash_correlator Correlator;
  const auto Report = [&](std::uint64_t First, instant Now) {
    for (std::uint64_t I = First; I < First + 1'000; ++I) {
      router::crash_findings Heartbeat;
      Heartbeat.Crashes = {{segment_hash{I}, upstream_run_hash{1}}};
      Correlator.onFindings(Heartbeat, Now);
    }
  };
  Report(0, Start);
  CHECK(Correlator.suspects(Start).size() == crash_correlator::MaxSuspects);
  const instant Later = Start + crash_correlator::SuspicionLifetime + 1s;
  Report(1'000, Later);
  const auto Suspects = Correlator.suspects(Later);
  REQUIRE(Suspects.size() == crash_correlator::MaxSuspects);
  CHECK(number(Suspects.front()) == 1'000);
}

// Guards against a segment that is found guilty again and again, with a command
// each time.
TEST_CASE("a guilty segment is returned once") {
  crash_correlator Correlator;
  for (std::uint64_t I = 1; I <= 3; ++I) {
    router::crash_findings Heartbeat;
    Heartbeat.Crashes = {{Segment, upstream_run_hash{I}}};
    Correlator.onFindings(Heartbeat, Start);
  }
  (void)Correlator.suspects(Start);
  CHECK(Correlator.takeGuilty(Start + 1s) ==
        std::vector<segment_hash>{Segment});
  CHECK(Correlator.takeGuilty(Start + 2s).empty());
}
