#ifndef ARBUTUS_BALANCE_PREFILL_TIME_ESTIMATOR_H
#define ARBUTUS_BALANCE_PREFILL_TIME_ESTIMATOR_H

#include "base/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace arbutus::balance {

/// Estimates the time from sending a prompt to a model engine to the first byte
/// of the response, from the number of tokens that the engine has to prefill.
/// Fits a line through the latest prompts, whose weights decay, and adds their
/// mean deviation from it. Not thread-safe.
class prefill_time_estimator {
public:
  void add(std::uint64_t Tokens, duration Time) noexcept {
    const auto X = static_cast<double>(Tokens);
    const auto Y = static_cast<double>(toMicros(Time));
    if (Weight > 0) {
      DeviationUs += DeviationWeight * (std::abs(Y - lineAt(X)) - DeviationUs);
    } else {
      DeviationUs = Y / 2;
    }
    Weight = Weight * Decay + 1;
    SumX = SumX * Decay + X;
    SumY = SumY * Decay + Y;
    SumXX = SumXX * Decay + X * X;
    SumXY = SumXY * Decay + X * Y;
  }

  /// Time within which most prompts of this size have produced a first byte.
  /// Nothing before the first sample.
  [[nodiscard]] std::optional<duration>
  expected(std::uint64_t Tokens) const noexcept {
    if (Weight <= 0) {
      return std::nullopt;
    }
    return duration(std::llround(
        std::max(0.0, lineAt(static_cast<double>(Tokens))) + DeviationUs));
  }

private:
  /// The latest 64 prompts have most of the weight.
  static constexpr double Decay = 1 - 1.0 / 64;
  static constexpr double DeviationWeight = 1.0 / 16;

  [[nodiscard]] double lineAt(double X) const noexcept {
    const double MeanX = SumX / Weight;
    const double MeanY = SumY / Weight;
    const double Variance = SumXX / Weight - MeanX * MeanX;
    // Prompts of one size say nothing about others. No prompt is faster for
    // being longer.
    constexpr double MinVariance = 1;
    const double Slope =
        Variance < MinVariance
            ? 0
            : std::max(0.0, (SumXY / Weight - MeanX * MeanY) / Variance);
    return MeanY + Slope * (X - MeanX);
  }

  double Weight = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  double DeviationUs = 0;
};

} // namespace arbutus::balance

#endif
