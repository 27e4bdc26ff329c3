#include "net/stall_detector.h"

namespace arbutus::net {

namespace {

constexpr duration TurnInterval = 100ms;
/// A longer time between two turns is a stall. A loop on a busy VM is late by
/// less.
constexpr duration StallThreshold = 400ms;
/// Time after a stall within which the loop has read what waited.
constexpr duration CatchUpTime = 1s;

} // namespace

void stall_record::onTurn(instant Now) noexcept {
  if (isStall(Now)) {
    const bool Continues = StallStart && *LastTurn - StallEnd < CatchUpTime;
    StallStart = Continues ? *StallStart : *LastTurn;
    StallEnd = Now;
  }
  LastTurn = Now;
}

instant stall_record::earliestArrival(instant Now) const noexcept {
  if (StallStart && Now - StallEnd < CatchUpTime) {
    return *StallStart;
  }
  return isStall(Now) ? *LastTurn : Now;
}

bool stall_record::isStall(instant Now) const noexcept {
  return LastTurn && Now - *LastTurn > StallThreshold;
}

void stall_detector::start() {
  Record.onTurn(monotonic_clock::now());
  Timer.expires_after(TurnInterval);
  Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      start();
    }
  });
}

} // namespace arbutus::net
