#ifndef ARBUTUS_CONTROL_CRASH_CORRELATOR_H
#define ARBUTUS_CONTROL_CRASH_CORRELATOR_H

#include "base/clock.h"
#include "router/crash_report.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::control {

/// Finds the prompt segments that crash upstreams, from the reports of all
/// routers. A segment is suspected when an upstream was lost before it answered
/// a request with it; an answered request with the segment clears it. Segments
/// that are not cleared and were on several upstreams, lost at different times,
/// are guilty. A loss does not count if the upstream goes on answering: then
/// only its connections were lost, as when a router's links are reset.
///
/// Requests that crash upstreams may have other segments in common, which sound
/// requests have too. The verdict is therefore on all segments that these
/// requests share, together: a request with only some of them is let through,
/// and its answer clears these.
///
/// Every voter keeps one, because heartbeats go to all voters; a new leader
/// then knows what the former one knew. Not thread-safe; the current time is
/// always an argument.
class crash_correlator {
public:
  using segment_set = std::vector<router::segment_hash>;

  void onFindings(const router::crash_findings &Findings, instant Now);

  /// Compares the reports. Called by the leader every `UpdateInterval`. Returns
  /// the sets of segments that are found guilty now.
  [[nodiscard]] std::vector<segment_set> update(instant Now);

  /// What is suspected, as of the last `update`; at most `MaxSuspects`
  /// segments. The leader sends it to all routers, so that those that get
  /// answers clear the segments and report the upstreams that still run.
  [[nodiscard]] const router::crash_suspicions &suspicions() const noexcept {
    return Suspicions;
  }

  static constexpr duration UpdateInterval = 100ms;
  /// An upstream that answers within this time after it was reported lost has
  /// not crashed; a restart takes longer.
  static constexpr duration MinRestartTime = 1500ms;

  static constexpr std::size_t MaxSuspects = 256;
  /// Lost upstreams that make suspected segments guilty. Two may be lost for
  /// another reason while they read requests with the same rare segment.
  static constexpr std::size_t MinCrashes = 3;
  /// Time between the first and the last of these losses. Upstreams that are
  /// lost together have a common cause outside of the requests.
  static constexpr duration MinCrashSpan = 500ms;
  /// Time that routers have to clear a suspected segment: two heartbeats and
  /// their replies.
  static constexpr duration ClearancePeriod = 700ms;
  /// Two losses of one upstream within this time are one crash.
  static constexpr duration SameCrashPeriod = 1500ms;
  /// Time after a crash for which its segments are suspected.
  static constexpr duration SuspicionLifetime = 60s;

private:
  /// A request whose upstream was lost.
  struct lost_request {
    router::upstream_run_hash Upstream{};
    segment_set Segments; ///< ordered
    instant At;
    /// The crash is put down to a guilty set already.
    bool Explained = false;
    /// The upstream still runs; only connections to it were lost.
    bool UpstreamAlive = false;
  };
  struct segment_state {
    /// When routers were first asked to clear the segment.
    std::optional<instant> PublishedAt;
    std::optional<instant> ClearedAt;
  };
  /// What speaks against one segment.
  struct evidence {
    std::size_t Crashes = 0;
    instant FirstAt;
    instant LastAt;
    /// Last counted crash of each upstream.
    std::map<router::upstream_run_hash, instant> CrashOf;
    /// Segments that all lost requests with the segment have in common.
    segment_set Common;
  };

  using evidence_map = std::map<router::segment_hash, evidence>;

  void addLost(const router::crash_report &Report, instant Now);
  void forgetExpired(instant Now);
  /// Segments of the request that were not cleared after its loss.
  [[nodiscard]] segment_set unclearedOf(const lost_request &Lost) const;
  /// Upstreams that were lost within `MinRestartTime` and do not answer.
  [[nodiscard]] std::vector<router::upstream_run_hash>
  recentlyLost(instant Now) const;
  /// What the unexplained crashes say against each uncleared segment.
  [[nodiscard]] evidence_map collectEvidence() const;
  [[nodiscard]] bool isGuilty(const evidence &Evidence, instant Now) const;
  /// The most specific guilty set, or nothing.
  [[nodiscard]] std::optional<segment_set>
  mostSpecificGuilty(const evidence_map &Evidence, instant Now) const;
  /// Marks the crashes in which a request had all of these segments.
  void markExplained(const segment_set &Guilty);

  std::deque<lost_request> LostRequests;
  std::map<router::segment_hash, segment_state> Segments;
  router::crash_suspicions Suspicions;
};

} // namespace arbutus::control

#endif
