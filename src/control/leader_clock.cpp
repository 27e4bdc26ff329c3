#include "control/leader_clock.h"

#include <algorithm>

namespace arbutus::control {

namespace {

/// Holds several heartbeats, so that one delayed reply makes no difference.
constexpr duration WindowLength = 1500ms;

} // namespace

void leader_clock::onReply(std::uint64_t ReplyTerm, instant LeaderTime,
                           instant Now) noexcept {
  if (ReplyTerm < Term) {
    return;
  }
  const duration Sample = LeaderTime - Now;
  if (ReplyTerm > Term) {
    Term = ReplyTerm;
    Offset = Sample;
    EarlierOffset.reset();
    WindowStart = Now;
    return;
  }
  if (Now - WindowStart >= WindowLength) {
    EarlierOffset = Offset;
    Offset = Sample;
    WindowStart = Now;
    return;
  }
  Offset = std::max(Offset, Sample);
}

instant leader_clock::atLeast(instant Local) const noexcept {
  return Local + std::max(Offset, EarlierOffset.value_or(Offset));
}

} // namespace arbutus::control
