#ifndef ARBUTUS_ROUTER_CRASH_EVIDENCE_H
#define ARBUTUS_ROUTER_CRASH_EVIDENCE_H

#include "base/clock.h"
#include "router/crash_report.h"

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace arbutus::router {

/// What a router has seen of prompt segments that may crash upstreams. The I/O
/// threads record it; the control thread sends it to the voters, whose leader
/// compares the reports of all routers. Thread-safe; the current time is always
/// an argument.
class crash_evidence {
public:
  /// An upstream was lost before it answered a request with these shared
  /// segments.
  void onUpstreamLost(upstream_run_hash Upstream,
                      const std::vector<segment_hash> &Segments, instant Now);

  /// An upstream answers a request that was sent at `SentAt`. If it was
  /// reported lost before, only connections to it were.
  void onResponse(upstream_run_hash Upstream, instant SentAt, instant Now);

  /// True if `onResponse` has something to look for.
  [[nodiscard]] bool hasLostUpstreams() const noexcept {
    return HasLostUpstreams.load(std::memory_order_relaxed);
  }

  /// An upstream has answered a request with these shared segments to its end,
  /// so none of them crashes upstreams.
  void onAnswered(const std::vector<segment_hash> &Segments, instant Now);

  /// True if an upstream was lost on one of the segments some time ago, at this
  /// or another router, and no upstream has answered a request with it since.
  /// Upstreams that are lost in the same moment have a common cause outside of
  /// the requests, so that a loss of just now is no suspicion.
  [[nodiscard]] bool isSuspected(const std::vector<segment_hash> &Segments,
                                 instant Now) const;

  /// Sets what the leader suspects.
  void setLeaderSuspicions(const crash_suspicions &Suspicions, instant Now);

  /// What the next heartbeat carries. Each finding is returned for some time,
  /// because a heartbeat may be lost.
  [[nodiscard]] crash_findings findings(instant Now);

private:
  struct recorded_crash {
    crash_report Report;
    instant At;
  };
  struct cleared_segment {
    segment_hash Segment{};
    instant At;
  };
  struct alive_upstream {
    upstream_run_hash Upstream{};
    instant At;
  };

  void forgetExpired(instant Now);

  mutable std::mutex Mutex;
  std::vector<recorded_crash> Crashes;
  std::vector<cleared_segment> Cleared;
  std::vector<alive_upstream> Alive;
  /// Suspected segments, each with the time since which this router knows:
  /// those of own crashes, until the leader's list has them, and the leader's.
  std::map<segment_hash, instant> OwnSuspects;
  std::map<segment_hash, instant> LeaderSuspects;
  /// Upstreams that were lost here or elsewhere, with the time at which this
  /// router got to know.
  std::map<upstream_run_hash, instant> LostUpstreams;
  /// These spare the lock while nothing was lost, as in normal operation.
  std::atomic<bool> HasSuspects = false;
  std::atomic<bool> HasLostUpstreams = false;
};

} // namespace arbutus::router

#endif
