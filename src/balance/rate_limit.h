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
  /// Sets the number of schedulers that send to the upstream independently of
  /// each other; each takes an equal part of the limit. `Phase`, from 0 to 1,
  /// differs between them and spreads their requests over time.
  void setShare(std::uint32_t Schedulers, double SharePhase) noexcept;

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

  /// Records that a request is sent.
  void recordSend(instant Now) noexcept;

  /// True if a request may be sent now. A scheduler that shares the limit with
  /// others may send only shortly after certain times: if each could use its
  /// part at any time, all would send at once when they lose the owner that
  /// they had in common.
  [[nodiscard]] bool allowsRequest(instant Now) const noexcept;

  [[nodiscard]] std::optional<double> perSecond() const noexcept {
    return PerSecond;
  }
  /// Time of the answer that last named the limit or ended it.
  [[nodiscard]] instant answeredAt() const noexcept { return AnsweredAt; }

private:
  [[nodiscard]] bool isShared() const noexcept { return SchedulerCount > 1; }
  /// Time between two requests of this scheduler; only with a limit.
  [[nodiscard]] duration interval() const noexcept;

  std::uint32_t SchedulerCount = 1;
  double Phase = 0;
  std::optional<double> PerSecond;
  instant AnsweredAt{};
  /// Earliest time of the next request under the limit.
  instant NextSend{};
};

} // namespace arbutus::balance

#endif
