#include "control/crash_correlator.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace arbutus::control {

namespace {

using segment_set = crash_correlator::segment_set;

/// Lost requests that are kept; the newest say enough.
constexpr std::size_t MaxLostRequests = 512;

bool includes(const segment_set &All, const segment_set &Part) {
  return std::includes(All.begin(), All.end(), Part.begin(), Part.end());
}

segment_set intersection(const segment_set &Left, const segment_set &Right) {
  segment_set Common;
  std::set_intersection(Left.begin(), Left.end(), Right.begin(), Right.end(),
                        std::back_inserter(Common));
  return Common;
}

} // namespace

void crash_correlator::onFindings(const router::crash_findings &Findings,
                                  instant Now) {
  for (const auto Segment : Findings.Cleared) {
    if (const auto Found = Segments.find(Segment); Found != Segments.end()) {
      Found->second = {std::nullopt, Now};
    }
  }
  for (const auto &Report : Findings.Crashes) {
    addLost(Report, Now);
  }
  for (const auto Upstream : Findings.Alive) {
    for (auto &Lost : LostRequests) {
      const bool SameRun =
          Lost.Upstream == Upstream && Now < Lost.At + MinRestartTime;
      Lost.UpstreamAlive = Lost.UpstreamAlive || SameRun;
    }
  }
}

void crash_correlator::addLost(const router::crash_report &Report,
                               instant Now) {
  lost_request Lost{Report.Upstream, Report.Segments, Now};
  std::sort(Lost.Segments.begin(), Lost.Segments.end());
  for (const auto &Known : LostRequests) {
    if (Known.Upstream != Lost.Upstream || Now >= Known.At + SameCrashPeriod) {
      continue;
    }
    if (Known.Segments == Lost.Segments) {
      return; // sent again, or lost in the same crash
    }
    Lost.Explained = Lost.Explained || Known.Explained;
  }
  if (Segments.size() + Lost.Segments.size() > MaxSuspects) {
    forgetExpired(Now);
  }
  for (const auto Segment : Lost.Segments) {
    if (Segments.size() < MaxSuspects) {
      Segments.try_emplace(Segment);
    }
  }
  LostRequests.push_back(std::move(Lost));
  if (LostRequests.size() > MaxLostRequests) {
    LostRequests.pop_front();
  }
}

std::vector<segment_set> crash_correlator::update(instant Now) {
  forgetExpired(Now);
  std::vector<segment_set> Guilty;
  auto Evidence = collectEvidence();
  while (auto Next = mostSpecificGuilty(Evidence, Now)) {
    markExplained(*Next);
    Guilty.push_back(std::move(*Next));
    Evidence = collectEvidence();
  }
  Suspicions = {};
  for (const auto &[Segment, Unused] : Evidence) {
    Suspicions.Segments.push_back(Segment);
    auto &PublishedAt = Segments.at(Segment).PublishedAt;
    PublishedAt = PublishedAt.value_or(Now);
  }
  Suspicions.LostUpstreams = recentlyLost(Now);
  return Guilty;
}

std::vector<router::upstream_run_hash>
crash_correlator::recentlyLost(instant Now) const {
  std::set<router::upstream_run_hash> Upstreams;
  for (const auto &Lost : LostRequests) {
    if (!Lost.UpstreamAlive && Now < Lost.At + MinRestartTime) {
      Upstreams.insert(Lost.Upstream);
    }
  }
  return {Upstreams.begin(), Upstreams.end()};
}

std::optional<segment_set>
crash_correlator::mostSpecificGuilty(const evidence_map &Evidence,
                                     instant Now) const {
  std::optional<segment_set> Best;
  for (const auto &[Segment, Against] : Evidence) {
    if (isGuilty(Against, Now) &&
        (!Best || Against.Common.size() > Best->size())) {
      Best = Against.Common;
    }
  }
  return Best;
}

bool crash_correlator::isGuilty(const evidence &Evidence, instant Now) const {
  const auto HadTimeToClear = [&](router::segment_hash Segment) {
    const auto Found = Segments.find(Segment);
    return Found != Segments.end() && Found->second.PublishedAt &&
           Now >= *Found->second.PublishedAt + ClearancePeriod;
  };
  return Evidence.Crashes >= MinCrashes &&
         Evidence.LastAt >= Evidence.FirstAt + MinCrashSpan &&
         std::all_of(Evidence.Common.begin(), Evidence.Common.end(),
                     HadTimeToClear);
}

void crash_correlator::markExplained(const segment_set &Guilty) {
  std::vector<std::pair<router::upstream_run_hash, instant>> Crashes;
  for (const auto &Lost : LostRequests) {
    if (includes(Lost.Segments, Guilty)) {
      Crashes.emplace_back(Lost.Upstream, Lost.At);
    }
  }
  for (auto &Lost : LostRequests) {
    Lost.Explained =
        Lost.Explained ||
        std::any_of(Crashes.begin(), Crashes.end(), [&](const auto &Crash) {
          return Crash.first == Lost.Upstream &&
                 Lost.At < Crash.second + SameCrashPeriod &&
                 Crash.second < Lost.At + SameCrashPeriod;
        });
  }
}

segment_set crash_correlator::unclearedOf(const lost_request &Lost) const {
  segment_set Uncleared;
  std::copy_if(Lost.Segments.begin(), Lost.Segments.end(),
               std::back_inserter(Uncleared), [&](router::segment_hash One) {
                 const auto Found = Segments.find(One);
                 return Found != Segments.end() &&
                        (!Found->second.ClearedAt ||
                         *Found->second.ClearedAt < Lost.At);
               });
  return Uncleared;
}

crash_correlator::evidence_map crash_correlator::collectEvidence() const {
  evidence_map Evidence;
  for (const auto &Lost : LostRequests) {
    if (Lost.Explained || Lost.UpstreamAlive) {
      continue;
    }
    const auto Uncleared = unclearedOf(Lost);
    for (const auto Segment : Uncleared) {
      auto &Against = Evidence[Segment];
      const auto [Known, IsFirst] =
          Against.CrashOf.try_emplace(Lost.Upstream, Lost.At);
      Against.Common = Against.Crashes == 0
                           ? Uncleared
                           : intersection(Against.Common, Uncleared);
      if (!IsFirst && Lost.At < Known->second + SameCrashPeriod) {
        continue; // the same crash
      }
      Known->second = Lost.At;
      Against.FirstAt = Against.Crashes == 0 ? Lost.At : Against.FirstAt;
      Against.LastAt = Lost.At;
      ++Against.Crashes;
    }
  }
  return Evidence;
}

void crash_correlator::forgetExpired(instant Now) {
  while (!LostRequests.empty() &&
         LostRequests.front().At + SuspicionLifetime < Now) {
    LostRequests.pop_front();
  }
  std::erase_if(Segments, [&](const auto &Entry) {
    return std::none_of(
        LostRequests.begin(), LostRequests.end(), [&](const auto &Lost) {
          return std::binary_search(Lost.Segments.begin(), Lost.Segments.end(),
                                    Entry.first);
        });
  });
}

} // namespace arbutus::control
