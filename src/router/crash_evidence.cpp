#include "router/crash_evidence.h"

#include <algorithm>

namespace arbutus::router {

namespace {

/// Time for which a finding is sent: at least two heartbeats.
constexpr duration FindingLifetime = 700ms;
/// Time within which the leader's list of suspects reflects an own crash.
constexpr duration OwnSuspicionLifetime = 2s;
/// Findings of each kind that are kept. A lost failure domain ends many
/// requests at once, and some of them say enough.
constexpr std::size_t MaxFindings = 64;

} // namespace

void crash_evidence::onUpstreamLost(upstream_run_hash Upstream,
                                    const std::vector<segment_hash> &Segments,
                                    instant Now) {
  const std::lock_guard Lock(Mutex);
  forgetExpired(Now);
  for (const auto Segment : Segments) {
    if (Crashes.size() == MaxFindings) {
      break;
    }
    Crashes.push_back({{Segment, Upstream}, Now});
    OwnSuspects[Segment] = Now;
    HasSuspects = true;
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

bool crash_evidence::isSuspected(
    const std::vector<segment_hash> &Segments) const {
  if (!HasSuspects.load(std::memory_order_relaxed)) {
    return false;
  }
  const std::lock_guard Lock(Mutex);
  return std::any_of(Segments.begin(), Segments.end(), [&](auto Segment) {
    return OwnSuspects.contains(Segment) || LeaderSuspects.contains(Segment);
  });
}

void crash_evidence::setLeaderSuspects(
    const std::vector<segment_hash> &Segments, instant Now) {
  const std::lock_guard Lock(Mutex);
  forgetExpired(Now);
  LeaderSuspects = {Segments.begin(), Segments.end()};
  HasSuspects = !OwnSuspects.empty() || !LeaderSuspects.empty();
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
  return Findings;
}

void crash_evidence::forgetExpired(instant Now) {
  const auto IsOld = [Now](const auto &Finding) {
    return Finding.At + FindingLifetime < Now;
  };
  std::erase_if(Crashes, IsOld);
  std::erase_if(Cleared, IsOld);
  std::erase_if(OwnSuspects, [Now](const auto &Entry) {
    return Entry.second + OwnSuspicionLifetime < Now;
  });
}

} // namespace arbutus::router
