#ifndef ARBUTUS_POOL_UPSTREAM_LIMIT_H
#define ARBUTUS_POOL_UPSTREAM_LIMIT_H

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>

namespace arbutus::pool {

/// Load that an upstream reports. `MeasuredBy` is in the clock of this
/// process; the load was measured in [MeasuredBy - MaxAge, MeasuredBy].
struct upstream_load_report {
  incarnation Incarnation{};
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  instant MeasuredBy;
  duration MaxAge{};
};

struct limit_options {
  std::uint32_t MaxLimit = 1;
  std::uint32_t FirstLimit = 1;
  /// Slots added per second of healthy use in slow start.
  double GrowthPerSecond = 1;
  /// Requests that must complete before the limit of a cold upstream grows.
  std::uint32_t WarmRequests = 0;
};

/// Concurrency limit of one upstream: slow start, additive increase while the
/// upstream is used and healthy, multiplicative decrease on overload.
class upstream_limit {
public:
  explicit upstream_limit(limit_options Options, instant Now);

  /// Changes the bounds and the growth; never raises the limit.
  void setOptions(limit_options Options);

  /// Sets the limit of the previous grantor at a takeover.
  void resume(std::uint32_t Limit, instant Now);

  /// Grows the limit for the time since the last call if at least half of it
  /// was in use and no overload occurred for a second.
  void advance(std::uint32_t InUse, instant Now);

  /// Counts completed requests, which warm up a cold upstream.
  void onCompleted(std::uint64_t Count) noexcept { Completed += Count; }

  void onOverload(instant Now);
  /// Restarts slow start for a cold upstream: restarted, returned, or with
  /// slow first tokens.
  void restartSlowStart(instant Now);
  /// Adds `Count` first tokens with the sum of their times. Returns true and
  /// restarts slow start when they show that the upstream is cold.
  bool onFirstTokens(std::uint64_t Count, std::uint64_t SumMillis, instant Now);
  /// Applies a load report. Returns true and restarts slow start when it shows
  /// a new incarnation.
  bool onLoad(const upstream_load_report &Report, instant Now);

  [[nodiscard]] std::uint32_t limit() const noexcept;
  [[nodiscard]] bool inSlowStart() const noexcept { return SlowStart; }

private:
  limit_options Options;
  double Limit;
  double SlowStartThreshold;
  bool SlowStart = true;
  /// Requests completed since the upstream was new or cold.
  std::uint64_t Completed = 0;
  instant LastAdvance;
  std::optional<instant> LastDecrease;
  std::optional<incarnation> Incarnation;
  double BaselineFirstTokenMillis = 0, RecentFirstTokenMillis = 0;
  std::uint64_t FirstTokens = 0;
};

} // namespace arbutus::pool

#endif
