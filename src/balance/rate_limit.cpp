#include "balance/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace arbutus::balance {

namespace {

/// A limit below this is raised to it, so that an upstream that takes nothing
/// for a while is asked again.
constexpr double MinPerSecond = 0.1;
/// Unused rate of this time may be sent at once.
constexpr duration MaxBurstTime = 250ms;

} // namespace

bool rate_limit::record(std::optional<double> Named, instant Answered,
                        instant Now) noexcept {
  const bool HasNone = !Named && !PerSecond;
  if (Answered < AnsweredAt || HasNone) {
    return false;
  }
  AnsweredAt = Answered;
  if (Named) {
    Named = std::max(*Named, MinPerSecond);
  }
  if (Named == PerSecond) {
    return false;
  }
  if (!PerSecond) {
    NextSend = Now;
  }
  PerSecond = Named;
  return true;
}

bool rate_limit::recordAnswer(std::optional<double> Named, instant SentAt,
                              instant Now) noexcept {
  const bool EndsLimitTooEarly = !Named && PerSecond && SentAt <= AnsweredAt;
  return !EndsLimitTooEarly && record(Named, Now, Now);
}

void rate_limit::recordSend(std::uint32_t SchedulerCount,
                            instant Now) noexcept {
  if (!PerSecond) {
    return;
  }
  const double IntervalUs = 1e6 * std::max(1U, SchedulerCount) / *PerSecond;
  NextSend = std::max(NextSend, Now - MaxBurstTime) +
             duration(std::llround(IntervalUs));
}

} // namespace arbutus::balance
