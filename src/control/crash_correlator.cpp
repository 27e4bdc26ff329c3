#include "control/crash_correlator.h"

#include <algorithm>

namespace arbutus::control {

namespace {

/// Crashes of one segment that are kept; more make it no guiltier.
constexpr std::size_t MaxCrashesPerSegment = 16;

} // namespace

void crash_correlator::onFindings(const router::crash_findings &Findings,
                                  instant Now) {
  for (const auto Segment : Findings.Cleared) {
    if (const auto Found = Suspects.find(Segment); Found != Suspects.end()) {
      for (auto &Crash : Found->second.Crashes) {
        Crash.Counts = false;
      }
      Found->second.PublishedAt.reset();
    }
  }
  for (const auto &Report : Findings.Crashes) {
    addCrash(Report, Now);
  }
}

void crash_correlator::addCrash(const router::crash_report &Report,
                                instant Now) {
  if (Suspects.size() >= MaxSuspects && !Suspects.contains(Report.Segment)) {
    forgetExpired(Now);
    if (Suspects.size() >= MaxSuspects) {
      return;
    }
  }
  auto &Crashes = Suspects[Report.Segment].Crashes;
  const bool Known =
      std::any_of(Crashes.begin(), Crashes.end(), [&](const auto &Crash) {
        return Crash.Upstream == Report.Upstream &&
               Now < Crash.At + SameCrashPeriod;
      });
  if (Known) {
    return;
  }
  if (Crashes.size() == MaxCrashesPerSegment) {
    Crashes.erase(Crashes.begin());
  }
  Crashes.push_back({Report.Upstream, Now});
}

std::vector<router::segment_hash> crash_correlator::suspects(instant Now) {
  forgetExpired(Now);
  std::vector<router::segment_hash> List;
  for (auto &[Segment, Suspect] : Suspects) {
    if (crashCount(Suspect) == 0) {
      continue;
    }
    if (!Suspect.PublishedAt) {
      Suspect.PublishedAt = Now;
    }
    List.push_back(Segment);
  }
  return List;
}

std::vector<router::segment_hash> crash_correlator::takeGuilty(instant Now) {
  std::vector<router::segment_hash> Guilty;
  std::erase_if(Suspects, [&](const auto &Entry) {
    const auto &Suspect = Entry.second;
    const bool IsGuilty = Suspect.PublishedAt &&
                          Now >= *Suspect.PublishedAt + ClearancePeriod &&
                          crashCount(Suspect) >= MinCrashes;
    if (IsGuilty) {
      Guilty.push_back(Entry.first);
    }
    return IsGuilty;
  });
  return Guilty;
}

void crash_correlator::forgetExpired(instant Now) {
  std::erase_if(Suspects, [Now](const auto &Entry) {
    const auto &Crashes = Entry.second.Crashes;
    return Crashes.empty() || Crashes.back().At + SuspicionLifetime < Now;
  });
}

std::size_t crash_correlator::crashCount(const suspect &Suspect) noexcept {
  return static_cast<std::size_t>(
      std::count_if(Suspect.Crashes.begin(), Suspect.Crashes.end(),
                    [](const auto &Crash) { return Crash.Counts; }));
}

} // namespace arbutus::control
