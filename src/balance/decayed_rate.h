#ifndef ARBUTUS_BALANCE_DECAYED_RATE_H
#define ARBUTUS_BALANCE_DECAYED_RATE_H

#include "base/clock.h"

#include <cmath>

namespace arbutus::balance {

/// Exponentially decayed rate per second: an amount loses its weight with the
/// time constant `Window`. Not thread-safe; the current time is always an
/// argument.
class decayed_rate {
public:
  explicit decayed_rate(duration Window) noexcept : Window(Window) {}

  void add(double Amount, instant Now) noexcept {
    PerSecond = value(Now) + Amount / toSeconds(Window);
    LastUpdate = Now;
  }

  [[nodiscard]] double value(instant Now) const noexcept {
    return PerSecond *
           std::exp(-toSeconds(Now - LastUpdate) / toSeconds(Window));
  }

private:
  duration Window;
  double PerSecond = 0;
  instant LastUpdate{};
};

} // namespace arbutus::balance

#endif
