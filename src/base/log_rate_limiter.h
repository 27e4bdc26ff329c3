#ifndef ARBUTUS_BASE_LOG_RATE_LIMITER_H
#define ARBUTUS_BASE_LOG_RATE_LIMITER_H

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace arbutus {

/// Token bucket that limits the rate of log lines. Not thread-safe; the current
/// time is an argument.
class log_rate_limiter {
public:
  /// Allows `PerSecond` lines per second on average and `Burst` lines at once.
  log_rate_limiter(double PerSecond, double Burst) noexcept
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst) {}

  /// Returns true if a line may be written now; else counts it as suppressed.
  [[nodiscard]] bool tryAcquire(instant Now) noexcept {
    if (Now > LastRefill) {
      Tokens =
          std::min(Burst, Tokens + PerSecond * toSeconds(Now - LastRefill));
      LastRefill = Now;
    }
    if (Tokens < 1) {
      ++Suppressed;
      return false;
    }
    Tokens -= 1;
    return true;
  }

  /// Returns the number of lines suppressed since the last call.
  [[nodiscard]] std::uint64_t resetSuppressedCount() noexcept {
    const std::uint64_t Count = Suppressed;
    Suppressed = 0;
    return Count;
  }

private:
  double PerSecond;
  double Burst;
  double Tokens;
  instant LastRefill{};
  std::uint64_t Suppressed = 0;
};

} // namespace arbutus

#endif
