#include "balance/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace arbutus::balance {

namespace {

/// A limit below this is raised to it, so that an upstream that takes nothing
/// for a while is asked again.
constexpr double MinPerSecond = 0.1;
/// Unused rate of this time may be sent at once; a scheduler that shares a
/// limit may send until this time after its turn.
constexpr duration MaxBurstTime = 250ms;

} // namespace

void rate_limit::setShare(std::uint32_t Schedulers,
                          double SharePhase) noexcept {
  SchedulerCount = std::max(1U, Schedulers);
  Phase = SharePhase;
}

duration rate_limit::interval() const noexcept {
  return duration(std::llround(1e6 * SchedulerCount / *PerSecond));
}

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
  const bool IsFirst = !PerSecond;
  PerSecond = Named;
  if (IsFirst) {
    NextSend = Now;
    if (isShared()) {
      NextSend += duration(std::llround(Phase * toMicros(interval())));
    }
  }
  return true;
}

bool rate_limit::recordAnswer(std::optional<double> Named, instant SentAt,
                              instant Now) noexcept {
  const bool EndsLimitTooEarly = !Named && PerSecond && SentAt <= AnsweredAt;
  return !EndsLimitTooEarly && record(Named, Now, Now);
}

void rate_limit::recordSend(instant Now) noexcept {
  if (!PerSecond) {
    return;
  }
  if (isShared()) {
    const auto Turns =
        std::max<duration::rep>(0, (Now - NextSend) / interval());
    NextSend += (Turns + 1) * interval();
  } else {
    NextSend = std::max(NextSend, Now - MaxBurstTime) + interval();
  }
}

bool rate_limit::allowsRequest(instant Now) const noexcept {
  if (!PerSecond) {
    return true;
  }
  if (Now < NextSend) {
    return false;
  }
  return !isShared() || (Now - NextSend) % interval() <= MaxBurstTime;
}

} // namespace arbutus::balance
