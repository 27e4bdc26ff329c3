#ifndef ARBUTUS_CONTROL_CRASH_CORRELATOR_H
#define ARBUTUS_CONTROL_CRASH_CORRELATOR_H

#include "base/clock.h"
#include "router/crash_report.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::control {

/// Finds the prompt segments that crash upstreams, from the reports of all
/// routers. A segment is suspected when an upstream was lost before it answered
/// a request with it. An answered request with the segment clears it. One that
/// is not cleared and has been on several lost upstreams is guilty.
///
/// Every voter keeps one, because heartbeats go to all voters; a new leader
/// then knows what the former one knew. Not thread-safe; the current time is
/// always an argument.
class crash_correlator {
public:
  void onFindings(const router::crash_findings &Findings, instant Now);

  /// Segments that are suspected, at most `MaxSuspects`. The caller sends them
  /// to all routers, so that those that have answered requests with them clear
  /// them.
  [[nodiscard]] std::vector<router::segment_hash> suspects(instant Now);

  /// Removes and returns the guilty segments.
  [[nodiscard]] std::vector<router::segment_hash> takeGuilty(instant Now);

  static constexpr std::size_t MaxSuspects = 256;
  /// Lost upstreams that make a suspected segment guilty. Two may be lost for
  /// another reason while they read requests with the same rare segment.
  static constexpr std::size_t MinCrashes = 3;
  /// Time that routers have to clear a suspected segment: two heartbeats and
  /// their replies.
  static constexpr duration ClearancePeriod = 700ms;
  /// Two losses of one upstream within this time are one crash.
  static constexpr duration SameCrashPeriod = 1500ms;
  /// Time after its last crash for which a segment is suspected.
  static constexpr duration SuspicionLifetime = 60s;

private:
  struct crash {
    router::upstream_run_hash Upstream{};
    instant At;
    /// False for a crash before the segment was last cleared.
    bool Counts = true;
  };
  struct suspect {
    std::vector<crash> Crashes;
    /// When routers were first asked to clear the segment.
    std::optional<instant> PublishedAt;
  };

  void addCrash(const router::crash_report &Report, instant Now);
  void forgetExpired(instant Now);
  [[nodiscard]] static std::size_t crashCount(const suspect &Suspect) noexcept;

  std::map<router::segment_hash, suspect> Suspects;
};

} // namespace arbutus::control

#endif
