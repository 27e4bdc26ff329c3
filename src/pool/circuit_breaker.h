#ifndef ARBUTUS_POOL_CIRCUIT_BREAKER_H
#define ARBUTUS_POOL_CIRCUIT_BREAKER_H

#include "base/clock.h"
#include "base/name_table.h"

#include <cstdint>
#include <deque>

namespace arbutus::pool {

enum class breaker_state { Closed, Open, HalfOpen };

struct breaker_options {
  /// Failures within `Window` that open the breaker, if they are also at least
  /// half of the outcomes.
  std::uint32_t FailureThreshold = 5;
  duration Window = 1s;
  /// Time that the breaker stays open at first. It doubles with each failed
  /// trial.
  duration InitialOpenDuration = 2s;
  duration MaxOpenDuration = 32s;
  /// Successes in the half-open state that close the breaker.
  std::uint32_t SuccessThreshold = 3;
};

/// Circuit breaker of one upstream. It counts the outcomes at all routers
/// together and allows one request at a time while half open.
class circuit_breaker {
public:
  explicit circuit_breaker(breaker_options Options = {}) : Options(Options) {}

  /// Counts outcomes. Returns true if the state changed.
  bool recordOutcomes(std::uint64_t Ok, std::uint64_t Failed, instant Now);
  /// Changes from open to half open when the time is over. Returns true if it
  /// did.
  bool advance(instant Now);
  /// Opens at once. Used at a takeover for an upstream whose breaker was open.
  void open(instant Now);

  [[nodiscard]] breaker_state state() const noexcept { return State; }
  /// Slots that may be in use at most, given the limit while closed.
  [[nodiscard]] std::uint32_t
  effectiveLimit(std::uint32_t Limit) const noexcept;

private:
  struct sample {
    instant At;
    std::uint64_t Ok, Failed;
  };

  breaker_options Options;
  breaker_state State = breaker_state::Closed;
  std::deque<sample> Samples;
  std::uint64_t OkSum = 0, FailedSum = 0;
  std::uint64_t TrialSuccesses = 0;
  instant OpenUntil;
  duration OpenDuration{};
};

} // namespace arbutus::pool

template <> struct arbutus::name_table<arbutus::pool::breaker_state> {
  using state = arbutus::pool::breaker_state;
  static constexpr name_row<state> Rows[] = {
      {state::Closed, "closed"},
      {state::Open, "open"},
      {state::HalfOpen, "half_open"},
  };
};

#endif
