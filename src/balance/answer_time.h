#ifndef ARBUTUS_BALANCE_ANSWER_TIME_H
#define ARBUTUS_BALANCE_ANSWER_TIME_H

#include "base/clock.h"

#include <cmath>
#include <optional>

namespace arbutus::balance {

/// How long answers take from the sending of a request, learnt from those that
/// came. Mean and mean deviation follow the newest answers as in TCP's estimate
/// of round trips. Not thread-safe.
class answer_time {
public:
  void add(duration Time) noexcept {
    const auto Micros = static_cast<double>(toMicros(Time));
    if (!Known) {
      Known = true;
      Mean = Micros;
      Deviation = Micros / 2;
      return;
    }
    const double Difference = Micros - Mean;
    Mean += MeanWeight * Difference;
    Deviation += DeviationWeight * (std::abs(Difference) - Deviation);
  }

  /// Time within which most answers come; empty before the first one.
  [[nodiscard]] std::optional<duration> expected() const noexcept {
    if (!Known) {
      return std::nullopt;
    }
    return duration(std::llround(Mean + Deviation));
  }

private:
  /// Share of the newest answer in the mean and in the deviation.
  static constexpr double MeanWeight = 1.0 / 16;
  static constexpr double DeviationWeight = 1.0 / 8;

  bool Known = false;
  double Mean = 0;
  double Deviation = 0;
};

} // namespace arbutus::balance

#endif
