#ifndef ARBUTUS_BALANCE_RATE_LIMIT_H
#define ARBUTUS_BALANCE_RATE_LIMIT_H

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace arbutus::balance {

/// The rate limit that an upstream has named in its answers, and the requests
/// that one scheduler sends under it. Not thread-safe; the current time is
/// always an argument.
class rate_limit {
public:
  /// Records the limit in an answer: requests per second that the upstream
  /// takes from the whole fleet, or nothing if the answer names none. Ignored
  /// if it is older than what is known. Returns true if the limit changes.
  bool record(std::optional<double> PerSecond, instant AnsweredAt,
              instant Now) noexcept;

  /// As `record`, for the answer to a request that was sent at `SentAt`. An
  /// answer without a limit ends one only if its request was sent after the
  /// limit was named: answers of several routers can arrive out of order.
  bool recordAnswer(std::optional<double> PerSecond, instant SentAt,
                    instant Now) noexcept;

  /// Records that a request is sent. `SchedulerCount` schedulers send to the
  /// upstream independently of each other; each takes an equal part of the
  /// limit.
  void recordSend(std::uint32_t SchedulerCount, instant Now) noexcept;

  /// True if a request may be sent now.
  [[nodiscard]] bool allowsRequest(instant Now) const noexcept {
    return !PerSecond || Now >= NextSend;
  }

  [[nodiscard]] std::optional<double> perSecond() const noexcept {
    return PerSecond;
  }
  /// Time of the answer that last named the limit or ended it.
  [[nodiscard]] instant answeredAt() const noexcept { return AnsweredAt; }

private:
  std::optional<double> PerSecond;
  instant AnsweredAt{};
  /// Earliest time of the next request under the limit.
  instant NextSend{};
};

} // namespace arbutus::balance

#endif
