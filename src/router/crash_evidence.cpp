#include "router/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace arbutus::router {

namespace {

/// Time for which a finding is sent: at least two heartbeats.
constexpr duration FindingLifetime = 700ms;
/// Time within which the leader's list of suspects reflects an own crash.
constexpr duration OwnSuspicionLifetime = 2s;
/// Age from which on a suspicion keeps requests from being repeated.
constexpr duration MinSuspicionAge = 500ms;
/// Findings of each kind that are kept. A lost failure domain ends many
/// requests at once, and some of them say enough.
constexpr std::size_t MaxFindings = 64;

} // namespace

void crash_evidence::onUpstreamLost(upstream_run_hash Upstream,
                                    const std::vector<segment_hash> &Segments,
                                    instant Now) {
  const std::lock_guard Lock(Mutex);
  forgetExpired(Now);
  if (Segments.empty() || Crashes.size() == MaxFindings) {
    return;
  }
  Crashes.push_back({{Upstream, Segments}, Now});
  LostUpstreams.try_emplace(Upstream, Now);
  HasLostUpstreams = true;
  for (const auto Segment : Segments) {
    OwnSuspects.try_emplace(Segment, Now);
  }
  HasSuspects = true;
}

void crash_evidence::onResponse(upstream_run_hash Upstream, instant SentAt,
                                instant Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = LostUpstreams.find(Upstream);
  if (Found == LostUpstreams.end() || SentAt <= Found->second) {
    return;
  }
  LostUpstreams.erase(Found);
  HasLostUpstreams = !LostUpstreams.empty();
  if (Alive.size() < MaxFindings) {
    Alive.push_back({Upstream, Now});
  }
}

void crash_evidence::onAnswered(const std::vector<segment_hash> &Segments,
                                instant Now) {
  if (!HasSuspects.load(std::memory_order_relaxed)) {
    return;
  }
  const std::lock_guard Lock(Mutex);
  for (const auto Segment : Segments) {
    const bool Suspected =
        OwnSuspects.erase(Segment) + LeaderSuspects.erase(Segment) != 0;
    if (Suspected && Cleared.size() < MaxFindings) {
      Cleared.push_back({Segment, Now});
    }
  }
  HasSuspects = !OwnSuspects.empty() || !LeaderSuspects.empty();
}

bool crash_evidence::isSuspected(const std::vector<segment_hash> &Segments,
                                 instant Now) const {
  if (!HasSuspects.load(std::memory_order_relaxed)) {
    return false;
  }
  const std::lock_guard Lock(Mutex);
  const auto IsOldIn = [Now](const auto &Suspects, segment_hash Segment) {
    const auto Found = Suspects.find(Segment);
    return Found != Suspects.end() && Found->second + MinSuspicionAge <= Now;
  };
  return std::any_of(Segments.begin(), Segments.end(), [&](auto Segment) {
    return IsOldIn(OwnSuspects, Segment) || IsOldIn(LeaderSuspects, Segment);
  });
}

void crash_evidence::setLeaderSuspicions(const crash_suspicions &Suspicions,
                                         instant Now) {
  const bool NoneBeforeAndNow =
      Suspicions.Segments.empty() && Suspicions.LostUpstreams.empty() &&
      !HasSuspects.load(std::memory_order_relaxed) &&
      !HasLostUpstreams.load(std::memory_order_relaxed);
  if (NoneBeforeAndNow) {
    return;
  }
  const std::lock_guard Lock(Mutex);
  forgetExpired(Now);
  std::map<segment_hash, instant> Suspects;
  for (const auto Segment : Suspicions.Segments) {
    const auto Known = LeaderSuspects.find(Segment);
    Suspects.emplace(Segment,
                     Known == LeaderSuspects.end() ? Now : Known->second);
  }
  LeaderSuspects = std::move(Suspects);
  for (const auto Upstream : Suspicions.LostUpstreams) {
    LostUpstreams.try_emplace(Upstream, Now);
  }
  HasSuspects = !OwnSuspects.empty() || !LeaderSuspects.empty();
  HasLostUpstreams = !LostUpstreams.empty();
}

crash_findings crash_evidence::findings(instant Now) {
  const std::lock_guard Lock(Mutex);
  forgetExpired(Now);
  crash_findings Findings;
  for (const auto &Crash : Crashes) {
    Findings.Crashes.push_back(Crash.Report);
  }
  for (const auto &Entry : Cleared) {
    Findings.Cleared.push_back(Entry.Segment);
  }
  for (const auto &Entry : Alive) {
    Findings.Alive.push_back(Entry.Upstream);
  }
  return Findings;
}

void crash_evidence::forgetExpired(instant Now) {
  const auto IsOld = [Now](const auto &Finding) {
    return Finding.At + FindingLifetime < Now;
  };
  std::erase_if(Crashes, IsOld);
  std::erase_if(Cleared, IsOld);
  std::erase_if(Alive, IsOld);
  const auto IsOldSuspicion = [Now](const auto &Entry) {
    return Entry.second + OwnSuspicionLifetime < Now;
  };
  std::erase_if(OwnSuspects, IsOldSuspicion);
  std::erase_if(LostUpstreams, IsOldSuspicion);
}

} // namespace arbutus::router
