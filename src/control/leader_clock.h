#ifndef ARBUTUS_CONTROL_LEADER_CLOCK_H
#define ARBUTUS_CONTROL_LEADER_CLOCK_H

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace arbutus::control {

/// A node's lower bound of the leader's monotonic clock, from the times that
/// the leader's replies carry. Clocks of nodes are not comparable, so the age
/// of a message is measured by the leader's alone. The bound is late by the
/// least time that a recent reply took.
class leader_clock {
public:
  /// Records a reply of the leader of `Term` that was made at `LeaderTime` and
  /// received at `Now`. Replies of earlier terms are ignored.
  void onReply(std::uint64_t Term, instant LeaderTime, instant Now) noexcept;

  /// Term of the leader whose clock is known, 0 if none is.
  [[nodiscard]] std::uint64_t term() const noexcept { return Term; }

  /// What the leader's clock showed at least when the own one showed `Local`.
  /// Only if the term is known.
  [[nodiscard]] instant atLeast(instant Local) const noexcept;

private:
  std::uint64_t Term = 0;
  /// Largest difference of a reply's time to the time of its receipt, in the
  /// present window and the one before. Old replies are forgotten, because the
  /// rates of two clocks differ.
  duration Offset = duration::zero();
  std::optional<duration> EarlierOffset;
  instant WindowStart;
};

} // namespace arbutus::control

#endif
