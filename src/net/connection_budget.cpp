#include "net/connection_budget.h"

#include <algorithm>

namespace arbutus::net {

namespace {

/// Time over which connections are counted.
constexpr duration Window = 100ms;
/// A window that took this long says nothing about a rate: no connection came.
constexpr duration StaleWindow = 1s;
/// Factors of the rate after a window in which the loop was late, and after one
/// in which it was not though connections were refused.
constexpr double Decrease = 0.8;
constexpr double Increase = 1.1;
/// A lag that shrinks by more than this in a window is left to go away.
constexpr double CatchingUp = 0.95;
/// Even a router that is always late takes some connections, so that callers
/// see that it is alive.
constexpr double LeastRate = 10;
/// Connections that may come at once, as time at the present rate.
constexpr duration Burst = 50ms;
/// Windows in a row without a refusal after which the limit is lifted.
constexpr std::uint32_t UnusedWindows = 5;

} // namespace

bool connection_budget::admit(instant Now, duration Lag) noexcept {
  if (Now - WindowStart >= Window) {
    endWindow(Now);
  }
  LastLag = Lag;
  if (Limited && !tryAcquire(Now)) {
    ++Refused;
    ++RefusedInWindow;
    return false;
  }
  ++Admitted;
  return true;
}

void connection_budget::endWindow(instant Now) noexcept {
  const duration Length = Now - WindowStart;
  const bool Late = LastLag > LongestLag && Length < StaleWindow;
  const bool Falling = toSeconds(LastLag) < CatchingUp * toSeconds(LagBefore);
  if (Late && !(Limited && Falling)) {
    lowerRate(Length);
  } else if (!Late && Limited && RefusedInWindow > 0) {
    Rate *= Increase;
  }
  WindowsUnused = Late || RefusedInWindow > 0 ? 0 : WindowsUnused + 1;
  if (WindowsUnused >= UnusedWindows || Length >= StaleWindow) {
    Limited = false;
  }
  WindowStart = Now;
  LagBefore = LastLag;
  Admitted = 0;
  RefusedInWindow = 0;
}

void connection_budget::lowerRate(duration Length) noexcept {
  // A lag that grew by as much as the window says that half was done.
  const duration Growth = std::max(duration::zero(), LastLag - LagBefore);
  const double Done = toSeconds(Length) / toSeconds(Length + Growth);
  const double Measured = Admitted / toSeconds(Length);
  const double Present = Limited ? std::min(Rate, Measured) : Measured;
  Rate = std::max(LeastRate, std::min(Decrease, Done) * Present);
  if (!Limited) {
    Tokens = 0;
    Filled = WindowStart + Length;
  }
  Limited = true;
}

bool connection_budget::tryAcquire(instant Now) noexcept {
  const double Most = std::max(1.0, Rate * toSeconds(Burst));
  Tokens = std::min(Most, Tokens + Rate * toSeconds(Now - Filled));
  Filled = Now;
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

} // namespace arbutus::net
