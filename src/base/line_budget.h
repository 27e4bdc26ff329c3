#ifndef ARBUTUS_BASE_LINE_BUDGET_H
#define ARBUTUS_BASE_LINE_BUDGET_H

#include "base/clock.h"

#include <algorithm>
#include <cstdint>

namespace arbutus {

/// Bounds log lines a second (token bucket). Not thread-safe; every time is an
/// argument.
class line_budget {
public:
  /// Allows `PerSecond` lines a second on average, and `Burst` at once.
  line_budget(double PerSecond, double Burst) noexcept
      : PerSecond(PerSecond), Burst(Burst), Tokens(Burst) {}

  /// True if a line may be written now; else it is counted as left out.
  [[nodiscard]] bool take(instant Now) noexcept {
    if (Now > Last) {
      Tokens = std::min(Burst, Tokens + PerSecond * toSeconds(Now - Last));
      Last = Now;
    }
    if (Tokens < 1) {
      ++LeftOut;
      return false;
    }
    Tokens -= 1;
    return true;
  }

  /// Lines left out since the last call.
  [[nodiscard]] std::uint64_t takeLeftOut() noexcept {
    const std::uint64_t Count = LeftOut;
    LeftOut = 0;
    return Count;
  }

private:
  double PerSecond;
  double Burst;
  double Tokens;
  instant Last{};
  std::uint64_t LeftOut = 0;
};

} // namespace arbutus

#endif
