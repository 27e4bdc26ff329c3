#ifndef ARBUTUS_BALANCE_UPSTREAM_LOAD_H
#define ARBUTUS_BALANCE_UPSTREAM_LOAD_H

#include "balance/prompt_cache.h"
#include "balance/rate_limit.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutus::balance {

/// An upstream as described by discovery and the configuration.
struct upstream_info {
  upstream_id Id{};
  std::string Name;
  std::string FailureDomain;
  /// Number of requests that the upstream executes concurrently.
  std::uint32_t Slots = 1;
  bool Usable = true;
  /// True for a model engine, which processes prompts and batches requests;
  /// false for a plain upstream, which is an ordinary HTTP server.
  bool IsModelEngine = false;
  /// Size of a model engine's prompt cache in tokens.
  std::uint64_t CacheTokens = 0;
  /// Requests per second that the whole fleet may send while the upstream is
  /// cold; 0 if it is warm.
  double ColdRequestsPerSecond = 0;
  /// Start time; a different value means that the upstream has restarted.
  std::uint64_t StartedMs = 0;

  bool operator==(const upstream_info &) const = default;
};

/// Number of requests from all routers at an upstream, as reported by the
/// upstream.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  instant At;
};

/// A scheduler's view of the load of one upstream.
struct upstream_load {
  upstream_info Info;
  /// Requests in flight from this scheduler.
  std::uint32_t InFlight = 0;
  /// Prompt tokens of the requests in flight that have not produced a first
  /// byte yet, without cached tokens.
  std::uint64_t PrefillTokens = 0;
  /// Time of the last first byte, or of the prompt that was sent when none was
  /// in prefill.
  instant PrefillProgressAt{};
  std::optional<load_report> LastReport;
  /// Requests that this scheduler has sent and completed since the last load
  /// report.
  std::uint32_t SentSinceReport = 0;
  std::uint32_t CompletedSinceReport = 0;
  /// Fraction of recent requests that failed, 0 to 1.
  double FailureRate = 0;
  std::uint32_t ConsecutiveConnectFailures = 0;
  /// No requests are sent before this time.
  instant BackoffUntil{};
  /// Earliest time of the next request to a cold upstream.
  instant NextColdDispatch{};
  /// What the upstream has named in its answers.
  rate_limit RateLimit;
  prompt_cache Cache;
};

/// Estimated number of requests from the whole fleet at the upstream.
/// `SchedulerCount` is the number of schedulers that send to it independently
/// of each other.
[[nodiscard]] double estimatedRequests(const upstream_load &Load,
                                       std::uint32_t SchedulerCount,
                                       instant Now);

/// True if the upstream has capacity for one more request.
[[nodiscard]] bool hasCapacity(const upstream_load &Load,
                               std::uint32_t SchedulerCount, instant Now);

/// True if the upstream may receive requests now, regardless of its load: it is
/// usable, not in back-off, and neither its cold rate limit nor the one that it
/// has named is reached.
[[nodiscard]] bool isEligible(const upstream_load &Load, instant Now) noexcept;

} // namespace arbutus::balance

#endif
