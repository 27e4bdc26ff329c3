#ifndef ARBUTUS_BALANCE_UPSTREAM_LOAD_H
#define ARBUTUS_BALANCE_UPSTREAM_LOAD_H

#include "balance/prompt_cache.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutus::balance {

/// An upstream as discovery and the configuration describe it.
struct upstream_info {
  upstream_id Id{};
  std::string Name;
  std::string FailureDomain;
  /// Requests that it runs at once.
  std::uint32_t Slots = 1;
  bool Usable = true;
  /// True for an engine that reads prompts and batches requests.
  bool IsModelEngine = false;
  /// Tokens that a model engine keeps.
  std::uint64_t CacheTokens = 0;
  /// Requests a second that the whole fleet may send while it is cold; 0 if it
  /// is warm.
  double ColdRequestsPerSecond = 0;
  /// Tells two runs of a worker under one name apart.
  std::uint64_t StartedMs = 0;

  bool operator==(const upstream_info &) const = default;
};

/// Requests at an upstream from all callers, as it reported itself.
struct load_report {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  instant At;
};

/// What a pool knows about an upstream's load.
struct upstream_load {
  upstream_info Facts;
  /// Requests of this pool that are in flight.
  std::uint32_t InFlight = 0;
  /// Prompt tokens still to be read of those without a first byte of an answer.
  std::uint64_t PrefillTokens = 0;
  std::optional<load_report> Reported;
  /// Requests sent and ended by this pool since the report.
  std::uint32_t SentSince = 0;
  std::uint32_t EndedSince = 0;
  /// Share of requests that failed lately, 0 to 1.
  double FailureRate = 0;
  /// Connection failures in a row, and until when they keep requests away.
  std::uint32_t Unreachable = 0;
  instant AvoidUntil{};
  /// Earliest instant of the next request to a cold upstream.
  instant NextCold{};
  prompt_cache Cache;
};

/// Requests of the whole fleet that are probably at the upstream now.
/// `Sharers` is the number of pools that send to it without knowing of each
/// other.
[[nodiscard]] double estimatedRequests(const upstream_load &Load,
                                       std::uint32_t Sharers, instant Now);

/// True if the upstream has room for one more request now.
[[nodiscard]] bool hasRoom(const upstream_load &Load, std::uint32_t Sharers,
                           instant Now);

/// True if a request may be sent now, its load apart.
[[nodiscard]] bool accepts(const upstream_load &Load, instant Now) noexcept;

} // namespace arbutus::balance

#endif
