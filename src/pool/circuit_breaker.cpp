#include "pool/circuit_breaker.h"

#include <algorithm>

namespace arbutus::pool {

bool circuit_breaker::recordOutcomes(std::uint64_t Ok, std::uint64_t Failed,
                                     instant Now) {
  if (Ok + Failed == 0 || State == breaker_state::Open) {
    return false;
  }
  if (State == breaker_state::HalfOpen) {
    if (Failed > 0) {
      open(Now);
      return true;
    }
    TrialSuccesses += Ok;
    if (TrialSuccesses < Options.SuccessThreshold) {
      return false;
    }
    State = breaker_state::Closed;
    OpenDuration = {};
    return true;
  }
  Samples.push_back({Now, Ok, Failed});
  OkSum += Ok;
  FailedSum += Failed;
  while (Now - Samples.front().At > Options.Window) {
    OkSum -= Samples.front().Ok;
    FailedSum -= Samples.front().Failed;
    Samples.pop_front();
  }
  if (FailedSum < Options.FailureThreshold || FailedSum < OkSum) {
    return false;
  }
  open(Now);
  return true;
}

bool circuit_breaker::advance(instant Now) {
  if (State != breaker_state::Open || Now < OpenUntil) {
    return false;
  }
  State = breaker_state::HalfOpen;
  TrialSuccesses = 0;
  return true;
}

void circuit_breaker::open(instant Now) {
  OpenDuration = OpenDuration == duration{}
                     ? Options.InitialOpenDuration
                     : std::min(OpenDuration * 2, Options.MaxOpenDuration);
  OpenUntil = Now + OpenDuration;
  State = breaker_state::Open;
  Samples.clear();
  OkSum = FailedSum = 0;
}

std::uint32_t
circuit_breaker::effectiveLimit(std::uint32_t Limit) const noexcept {
  switch (State) {
  case breaker_state::Closed:
    return Limit;
  case breaker_state::HalfOpen:
    return std::min(Limit, 1U);
  case breaker_state::Open:
    break;
  }
  return 0;
}

} // namespace arbutus::pool
