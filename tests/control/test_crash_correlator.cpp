#include "base/ids.h"
#include "control/crash_correlator.h"
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;
using router::segment_hash;
using router::upstream_run_hash;
using segments = crash_correlator::segment_set;

namespace {

constexpr instant Start(100s);
constexpr segment_hash Dead{7};
constexpr segment_hash Sound{8};
constexpr segment_hash Rare{9};

/// What one router reports at a time after `Start`.
struct finding {
  duration At;
  router::crash_findings Findings;
};

finding lost(duration At, std::uint64_t Upstream, segments Segments = {Dead}) {
  return {At, {{{upstream_run_hash{Upstream}, std::move(Segments)}}, {}, {}}};
}

finding cleared(duration At, segment_hash Segment) {
  return {At, {{}, {Segment}, {}}};
}

finding alive(duration At, std::uint64_t Upstream) {
  return {At, {{}, {}, {upstream_run_hash{Upstream}}}};
}

/// A set of segments that was found guilty, and when.
struct verdict {
  duration At;
  segments Segments;
};

/// Plays the findings in steps of the leader's interval.
std::vector<verdict> play(const std::vector<finding> &Findings,
                          duration Length) {
  crash_correlator Correlator;
  std::vector<verdict> Verdicts;
  auto Next = Findings.begin();
  for (duration Now{}; Now <= Length; Now += crash_correlator::UpdateInterval) {
    for (; Next != Findings.end() && Next->At <= Now; ++Next) {
      Correlator.onFindings(Next->Findings, Start + Now);
    }
    for (auto &Guilty : Correlator.update(Start + Now)) {
      Verdicts.push_back({Now, std::move(Guilty)});
    }
  }
  return Verdicts;
}

} // namespace

// Guards against a prompt segment that crashes one upstream after the other,
// and against innocent ones that are taken for it because they were on
// upstreams or connections that were lost.
TEST_CASE("segments are guilty after several crashes without an answer") {
  struct row {
    std::string Name;
    std::vector<finding> Findings;
    std::vector<verdict> Verdicts;
  };
  const std::vector<row> Rows = {
      {"three upstreams, one by one",
       {lost(0ms, 1), lost(1000ms, 2), lost(2000ms, 3)},
       {{2000ms, {Dead}}}},
      {"three upstreams in quick succession: routers get time to clear it",
       {lost(0ms, 1), lost(300ms, 2), lost(500ms, 3)},
       {{700ms, {Dead}}}},
      {"two upstreams", {lost(0ms, 1), lost(1000ms, 2)}, {}},
      {"one crash that three routers report",
       {lost(0ms, 1), lost(100ms, 1), lost(600ms, 1)},
       {}},
      {"one upstream that crashes again and again under one name",
       {lost(0ms, 1), lost(3000ms, 1), lost(6000ms, 1)},
       {{6000ms, {Dead}}}},
      {"a failure domain is lost at once",
       {lost(0ms, 1), lost(100ms, 2), lost(200ms, 3), lost(300ms, 4)},
       {}},
      {"a failure domain is lost slowly; the segment is answered elsewhere",
       {lost(0ms, 1), lost(300ms, 2), lost(600ms, 3), cleared(650ms, Dead)},
       {}},
      {"the links of a router are reset: the upstreams go on answering",
       {lost(0ms, 1), alive(400ms, 1), lost(1000ms, 2), alive(1300ms, 2),
        lost(2000ms, 3), lost(3000ms, 4)},
       {}},
      {"upstreams that answer after a restart did crash",
       {lost(0ms, 1), lost(1000ms, 2), alive(1600ms, 1), lost(2000ms, 3)},
       {{2000ms, {Dead}}}},
      {"answered between the crashes",
       {lost(0ms, 1), cleared(500ms, Dead), lost(1000ms, 2),
        cleared(1500ms, Dead), lost(2000ms, 3), cleared(2300ms, Dead)},
       {}},
      {"answered once, then it turns into one that crashes upstreams",
       {lost(0ms, 1), cleared(500ms, Dead), lost(1000ms, 2), lost(2000ms, 3),
        lost(3000ms, 4)},
       {{3000ms, {Dead}}}},
      {"a segment that sound requests share is cleared",
       {lost(0ms, 1, {Dead, Sound}), cleared(300ms, Sound),
        lost(1000ms, 2, {Dead, Sound}), cleared(1200ms, Sound),
        lost(2000ms, 3, {Dead})},
       {{2000ms, {Dead}}}},
      {"a segment that sound requests share seldom: both together",
       {lost(0ms, 1, {Dead, Sound}), lost(400ms, 2, {Dead, Sound}),
        lost(700ms, 3, {Dead, Sound})},
       {{700ms, {Dead, Sound}}}},
      {"requests have only the one segment in common",
       {lost(0ms, 1, {Dead, Sound}), lost(400ms, 2, {Dead, Rare}),
        lost(700ms, 3, {Dead, Sound})},
       {{700ms, {Dead}}}},
      {"sound requests were lost in the same crashes",
       {lost(0ms, 1, {Dead, Sound}), lost(0ms, 1, {Sound}),
        lost(400ms, 2, {Dead, Sound}), lost(400ms, 2, {Sound}),
        lost(700ms, 3, {Dead, Sound}), lost(700ms, 3, {Sound})},
       {{700ms, {Dead, Sound}}}},
      {"crashes too far apart",
       {lost(0ms, 1), lost(61s, 2), lost(122s, 3)},
       {}},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Verdicts = play(Row.Findings, 130s);
    REQUIRE(Verdicts.size() == Row.Verdicts.size());
    for (std::size_t I = 0; I < Verdicts.size(); ++I) {
      CHECK(toMicros(Verdicts[I].At) == toMicros(Row.Verdicts[I].At));
      CHECK((Verdicts[I].Segments == Row.Verdicts[I].Segments));
    }
  }
}

// Guards against memory that grows with the number of reported segments.
TEST_CASE("the number of suspects is bounded and expired ones make room") {
  crash_correlator Correlator;
  const auto Report = [&](std::uint64_t First, instant Now) {
    for (std::uint64_t I = First; I < First + 1'000; ++I) {
      Correlator.onFindings(lost({}, 1, {segment_hash{I}}).Findings, Now);
    }
  };
  Report(0, Start);
  CHECK(Correlator.update(Start).empty());
  CHECK(Correlator.suspicions().Segments.size() <=
        crash_correlator::MaxSuspects);
  const instant Later = Start + crash_correlator::SuspicionLifetime + 1s;
  CHECK(Correlator.update(Later).empty());
  CHECK(Correlator.suspicions().Segments.empty());
  Report(1'000, Later);
  CHECK(Correlator.update(Later).empty());
  CHECK(Correlator.suspicions().Segments.size() > 100);
}

// Guards against a verdict that is passed again and again, with a command each
// time, for requests that were on their way.
TEST_CASE("a verdict is passed once") {
  const auto Verdicts = play({lost(0ms, 1), lost(400ms, 2), lost(700ms, 3),
                              lost(1000ms, 4), lost(1100ms, 5)},
                             60s);
  CHECK(Verdicts.size() == 1);
}
