#include "router/crash_evidence.h"
#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::router;

namespace {

constexpr instant Start(100s);
constexpr upstream_run_hash Upstream{1};
const std::vector<segment_hash> Segments = {segment_hash{7}, segment_hash{8}};
const std::vector<segment_hash> Other = {segment_hash{9}};

} // namespace

// Guards against a segment that stays suspected although it was answered or
// nobody else suspects it, and against one that is forgotten at once.
TEST_CASE("suspicion follows from own crashes and the leader's list") {
  struct row {
    std::string Name;
    std::function<void(crash_evidence &)> Events;
    duration At;
    bool Suspected;
  };
  const auto LoseHere = [](crash_evidence &Evidence) {
    Evidence.onUpstreamLost(Upstream, Segments, Start);
  };
  const auto SuspectElsewhere = [](crash_evidence &Evidence, duration At) {
    Evidence.setLeaderSuspicions({{segment_hash{8}}, {}}, Start + At);
  };
  const auto SuspectNothing = [](crash_evidence &Evidence, duration At) {
    Evidence.setLeaderSuspicions({}, Start + At);
  };
  const std::vector<row> Rows = {
      {"nothing happened", [](auto &) {}, 500ms, false},
      {"an own crash some time ago", LoseHere, 500ms, true},
      {"an own crash in the same moment", LoseHere, 400ms, false},
      {"a crash on other segments",
       [](auto &Evidence) { Evidence.onUpstreamLost(Upstream, Other, Start); },
       500ms, false},
      {"answered since",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         Evidence.onAnswered(Segments, Start);
       },
       500ms, false},
      {"a crash at another router some time ago",
       [&](auto &Evidence) {
         SuspectElsewhere(Evidence, 0ms);
         SuspectElsewhere(Evidence, 300ms);
       },
       500ms, true},
      {"a crash at another router in the same moment",
       [&](auto &Evidence) { SuspectElsewhere(Evidence, 300ms); }, 500ms,
       false},
      {"the leader has dropped it",
       [&](auto &Evidence) {
         SuspectElsewhere(Evidence, 0ms);
         SuspectNothing(Evidence, 300ms);
       },
       500ms, false},
      {"the leader's list is older than the crash",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         SuspectNothing(Evidence, 100ms);
       },
       500ms, true},
      {"the leader has not confirmed it",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         SuspectNothing(Evidence, 3s);
       },
       3s, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    crash_evidence Evidence;
    Row.Events(Evidence);
    CHECK(Evidence.isSuspected(Segments, Start + Row.At) == Row.Suspected);
  }
}

// Guards against findings that one lost heartbeat loses, that are sent without
// end, or that grow with the number of lost requests.
TEST_CASE("findings are sent with several heartbeats and are bounded") {
  crash_evidence Evidence;
  Evidence.onUpstreamLost(Upstream, Segments, Start);
  CHECK((Evidence.findings(Start).Crashes ==
         std::vector<crash_report>{{Upstream, Segments}}));
  CHECK(Evidence.findings(Start + 600ms).Crashes.size() == 1);
  CHECK(Evidence.findings(Start + 800ms).Crashes.empty());
  for (int I = 0; I < 1'000; ++I) {
    Evidence.onUpstreamLost(Upstream, Segments, Start + 1s);
  }
  CHECK(Evidence.findings(Start + 1s).Crashes.size() <= 64);
  Evidence.onAnswered(Segments, Start + 1s);
  CHECK(Evidence.findings(Start + 1s).Cleared == Segments);
  CHECK(Evidence.findings(Start + 2s).Cleared.empty());
}

// Guards against upstreams that count as crashed although only a router's
// connections to them were lost, and against one that crashed and is taken for
// a running one because of an earlier request.
TEST_CASE("a lost upstream that answers a later request is reported alive") {
  struct row {
    std::string Name;
    std::function<void(crash_evidence &)> Events;
    bool Alive;
  };
  const auto LoseHere = [](crash_evidence &Evidence) {
    Evidence.onUpstreamLost(Upstream, Segments, Start);
  };
  const auto LoseElsewhere = [](crash_evidence &Evidence) {
    Evidence.setLeaderSuspicions({{}, {Upstream}}, Start);
  };
  const std::vector<row> Rows = {
      {"lost here",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         Evidence.onResponse(Upstream, Start + 10ms, Start + 100ms);
       },
       true},
      {"lost elsewhere",
       [&](auto &Evidence) {
         LoseElsewhere(Evidence);
         Evidence.onResponse(Upstream, Start + 10ms, Start + 100ms);
       },
       true},
      {"the request was sent before the loss",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         Evidence.onResponse(Upstream, Start - 10ms, Start + 100ms);
       },
       false},
      {"another upstream answers",
       [&](auto &Evidence) {
         LoseHere(Evidence);
         Evidence.onResponse(upstream_run_hash{2}, Start + 10ms, Start + 100ms);
       },
       false},
      {"nothing was lost",
       [](auto &Evidence) {
         Evidence.onResponse(Upstream, Start + 10ms, Start + 100ms);
       },
       false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    crash_evidence Evidence;
    Row.Events(Evidence);
    CHECK(Evidence.findings(Start + 200ms).Alive.empty() == !Row.Alive);
    CHECK(Evidence.findings(Start + 2s).Alive.empty());
  }
}
