#include "balance/upstream_load.h"

#include <algorithm>

namespace arbutus::balance {

namespace {

/// Load reports older than this are ignored.
constexpr duration ReportLifetime = 2s;
/// No further prompt is sent to an engine with at least this many pending
/// prompt tokens. While an engine prefills continuously, each output token
/// takes as long as a chunk of prefill, and all its streams stall. With one
/// prompt at a time, the engine generates some tokens between prompts. Fewer
/// pending tokens than this are processed within one or two steps.
constexpr std::uint64_t MaxPendingPrefillTokens = 600;
/// Maximum number of requests per slot of a plain upstream, executing and
/// queued. One of each keeps a slot busy between two requests.
constexpr double MaxRequestsPerSlot = 2;

} // namespace

double estimatedRequests(const upstream_load &Load,
                         std::uint32_t SchedulerCount, instant Now) {
  if (!Load.LastReport || Now - Load.LastReport->At > ReportLifetime) {
    return static_cast<double>(Load.InFlight) * std::max(1U, SchedulerCount);
  }
  const double Estimate =
      static_cast<double>(Load.LastReport->Running + Load.LastReport->Waiting) +
      static_cast<double>(Load.SentSinceReport) -
      static_cast<double>(Load.CompletedSinceReport);
  return std::max<double>(Estimate, Load.InFlight);
}

bool hasCapacity(const upstream_load &Load, std::uint32_t SchedulerCount,
                 instant Now) {
  const double Slots = std::max(1U, Load.Info.Slots);
  const double Requests = estimatedRequests(Load, SchedulerCount, Now);
  if (Load.Info.IsModelEngine) {
    return Requests < Slots &&
           Load.PrefillTokens * std::max(1U, SchedulerCount) <
               MaxPendingPrefillTokens;
  }
  return Requests < MaxRequestsPerSlot * Slots;
}

bool isEligible(const upstream_load &Load, instant Now) noexcept {
  return Load.Info.Usable && Now >= Load.BackoffUntil &&
         Load.RateLimit.allowsRequest(Now) &&
         (Load.Info.ColdRequestsPerSecond <= 0 || Now >= Load.NextColdDispatch);
}

} // namespace arbutus::balance
