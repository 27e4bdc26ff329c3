#ifndef ARBUTUS_ROLLOUT_EXPOSURE_LIMIT_H
#define ARBUTUS_ROLLOUT_EXPOSURE_LIMIT_H

#include "base/digest.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace arbutus::rollout {

/// Bounds the share of one router's requests to a service that go to a canary.
/// Requests are selected for the canary at random, so that each route has its
/// part; this limit holds also while the other upstreams refuse requests, which
/// would leave the canary with a larger share. It needs no messages: if each
/// router keeps to a share of its own requests, the fleet does.
///
/// A router of a large fleet sends so few requests that a share of them would
/// be less than one for seconds. Some routers, drawn by lot, therefore begin
/// with a credit of one; they are so few that the fleet stays within the slack.
struct exposure_limit {
  /// Start of the rollout that the counts belong to, in ms of log time.
  std::int64_t RolloutStartMs = 0;
  double Sent = 0;
  double SentToCanary = 0;
  double Credit = 0;

  /// Drops the counts of an earlier rollout. `Lot` is a random number of the
  /// router, `Routers` the number of live ones.
  void begin(std::int64_t StartMs, std::uint64_t Lot,
             std::size_t Routers) noexcept {
    if (StartMs == RolloutStartMs) {
      return;
    }
    constexpr std::uint64_t Steps = 10'000;
    const double Share =
        FleetCredit / static_cast<double>(std::max<std::size_t>(1, Routers));
    const bool HasCredit =
        static_cast<double>(
            hash64("credit", Lot + static_cast<std::uint64_t>(StartMs)) %
            Steps) < Share * Steps;
    *this = {StartMs, 0, 0, HasCredit ? 1.0 : 0.0};
  }
  /// True if one more request may go to the canary.
  [[nodiscard]] bool allows(double Share) const noexcept {
    return SentToCanary + 1 <= Share * Tolerance * Sent + Credit;
  }
  void onSent(bool ToCanary) noexcept {
    Sent += 1;
    SentToCanary += ToCanary ? 1 : 0;
  }

  /// The selection is random, so the limit is somewhat above the share.
  static constexpr double Tolerance = 1.6;
  /// Credit of all routers together.
  static constexpr double FleetCredit = 40;
};

} // namespace arbutus::rollout

#endif
