#ifndef ARBUTUS_BALANCE_UPSTREAM_LOAD_H
#define ARBUTUS_BALANCE_UPSTREAM_LOAD_H

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutus::balance {

/// An upstream as discovery and the configuration describe it.
struct upstream_facts {
  upstream_id Id{};
  std::string Name;
  std::string FailureDomain;
  /// Requests that it runs at once.
  std::uint32_t Slots = 1;
  bool Usable = true;
  /// Requests a second that the whole fleet may send while it is cold; 0 if it
  /// is warm.
  double ColdRate = 0;
  /// Tells two runs of a worker under one name apart.
  std::uint64_t StartedMs = 0;

  bool operator==(const upstream_facts &) const = default;
};

/// Requests at an upstream from all callers, as it reported itself.
struct reported_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  instant At;
};

/// What one router knows about an upstream's load.
struct upstream_load {
  upstream_facts Facts;
  /// Requests of this router that are in flight.
  std::uint32_t InFlight = 0;
  /// Prompt tokens of those that have no first byte of an answer yet.
  std::uint64_t PrefillTokens = 0;
  std::optional<reported_load> Reported;
  /// Requests sent and ended by this router since the report.
  std::uint32_t SentSince = 0;
  std::uint32_t EndedSince = 0;
  /// Share of requests that failed lately, 0 to 1.
  double FailureRate = 0;
  /// Connection failures in a row, and until when they keep requests away.
  std::uint32_t Unreachable = 0;
  instant AvoidUntil{};
  /// Earliest instant of the next request to a cold upstream.
  instant NextCold{};
};

/// Requests of the whole fleet that are probably at the upstream now.
/// `Routers` is the number of routers that share the load.
[[nodiscard]] double estimatedRequests(const upstream_load &Load,
                                       std::uint32_t Routers, instant Now);

/// Load relative to what the upstream should take; 1 or more is full.
[[nodiscard]] double relativeLoad(const upstream_load &Load,
                                  std::uint32_t Routers, instant Now);

/// True if a request may be sent now, its load apart.
[[nodiscard]] bool accepts(const upstream_load &Load, instant Now) noexcept;

} // namespace arbutus::balance

#endif
