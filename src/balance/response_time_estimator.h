#ifndef ARBUTUS_BALANCE_RESPONSE_TIME_ESTIMATOR_H
#define ARBUTUS_BALANCE_RESPONSE_TIME_ESTIMATOR_H

#include "base/clock.h"

#include <cmath>
#include <optional>

namespace arbutus::balance {

/// Estimates the time from sending a request to its complete response. Keeps an
/// exponentially weighted mean and mean deviation, as TCP does for round-trip
/// times. Not thread-safe.
class response_time_estimator {
public:
  void add(duration ResponseTime) noexcept {
    const auto SampleUs = static_cast<double>(toMicros(ResponseTime));
    if (!HasSample) {
      HasSample = true;
      MeanUs = SampleUs;
      MeanDeviationUs = SampleUs / 2;
      return;
    }
    const double DifferenceUs = SampleUs - MeanUs;
    MeanUs += MeanWeight * DifferenceUs;
    MeanDeviationUs +=
        DeviationWeight * (std::abs(DifferenceUs) - MeanDeviationUs);
  }

  /// Time within which most responses complete: the mean plus the mean
  /// deviation. Empty before the first sample.
  [[nodiscard]] std::optional<duration> expected() const noexcept {
    if (!HasSample) {
      return std::nullopt;
    }
    return duration(std::llround(MeanUs + MeanDeviationUs));
  }

private:
  /// Weights of the newest sample in the mean and in the mean deviation.
  static constexpr double MeanWeight = 1.0 / 16;
  static constexpr double DeviationWeight = 1.0 / 8;

  bool HasSample = false;
  double MeanUs = 0;
  double MeanDeviationUs = 0;
};

} // namespace arbutus::balance

#endif
