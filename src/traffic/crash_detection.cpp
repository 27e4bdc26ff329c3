#include "traffic/crash_detection.h"

#include "base/digest.h"
#include "base/log.h"
#include "store/quarantine.h"
#include "traffic/attempt_outcome.h"

#include <string>
#include <vector>

namespace arbutus::traffic {

namespace {

/// Names of segments as the store has them, separated by commas.
std::string segmentNames(const std::vector<router::segment_hash> &Segments) {
  std::string Names;
  for (const auto Segment : Segments) {
    Names += Names.empty() ? "" : ",";
    Names += store::segmentName(number(Segment));
  }
  return Names;
}

/// Identifies the run of the upstream in crash reports.
router::upstream_run_hash runHash(const upstream_attempt &Attempt) {
  return router::upstream_run_hash{
      hash64(Attempt.Instance, Attempt.InstanceStartedMs)};
}

} // namespace

void recordUpstreamAnswers(const traffic_request &Request, instant Now) {
  const auto &Attempt = Request.Attempt;
  const auto &Info = Attempt.ResponseInfo;
  auto &Crashes = Request.Shard.Context.Crashes;
  if (Crashes.hasLostUpstreams() && Info.Identified && !Info.Misdirected) {
    Crashes.onResponse(runHash(Attempt), Attempt.SentAt, Now);
  }
}

bool recordCrashEvidence(const traffic_request &Request,
                         net::call_outcome Outcome) {
  auto &Crashes = Request.Shard.Context.Crashes;
  const auto &Segments = Request.SharedSegments;
  const instant Now = monotonic_clock::now();
  if (Segments.empty()) {
    return false;
  }
  if (Outcome == net::call_outcome::Complete &&
      Request.Attempt.ResponseInfo.SignedSuccess) {
    Crashes.onAnswered(Segments, Now);
  }
  if (!isUpstreamLost(Request, Outcome)) {
    return false;
  }
  const bool Suspected = Crashes.isSuspected(Segments, Now);
  Crashes.onUpstreamLost(runHash(Request.Attempt), Segments, Now);
  logEvent(log_level::Info, "upstream_lost",
           {{"request", Request.Caller.Id},
            {"upstream", Request.Attempt.Instance},
            {"segments", segmentNames(Segments)},
            {"suspected", Suspected}});
  return Suspected;
}

} // namespace arbutus::traffic
