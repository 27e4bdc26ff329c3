#ifndef ARBUTUS_BALANCE_DECAYED_RATE_H
#define ARBUTUS_BALANCE_DECAYED_RATE_H

#include "base/clock.h"

#include <cmath>

namespace arbutus::balance {

/// Amount a second, averaged over about a window that the newest amounts weigh
/// most in. Not thread-safe; every time is an argument.
class decayed_rate {
public:
  explicit decayed_rate(duration Window) noexcept : Window(Window) {}

  void add(double Amount, instant Now) noexcept {
    Rate = value(Now) + Amount / toSeconds(Window);
    At = Now;
  }

  [[nodiscard]] double value(instant Now) const noexcept {
    return Rate * std::exp(-toSeconds(Now - At) / toSeconds(Window));
  }

private:
  duration Window;
  double Rate = 0;
  instant At{};
};

} // namespace arbutus::balance

#endif
