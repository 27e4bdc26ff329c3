#ifndef ARBUTUS_POOL_CIRCUIT_BREAKER_H
#define ARBUTUS_POOL_CIRCUIT_BREAKER_H

#include "base/clock.h"
#include "base/name_table.h"

#include <cstdint>
#include <deque>

namespace arbutus::pool {

enum class breaker_state { Closed, Open, HalfOpen };

struct breaker_options {
  /// Failures within `Window` that open the breaker, if they are also at
  /// least half of the outcomes.
  std::uint32_t Failures = 5;
  duration Window = 1s;
  /// Time set aside at first; it doubles with each failed trial.
  duration OpenFor = 2s;
  duration MostOpenFor = 32s;
  /// Successes of the trickle that close the breaker.
  std::uint32_t Successes = 3;
};

/// Takes an upstream out of rotation on a joint count of failures and lets it
/// back with a trickle of one request at a time.
class circuit_breaker {
public:
  explicit circuit_breaker(breaker_options Options = {}) : Options(Options) {}

  /// Counts outcomes. Returns true when the state changed.
  bool recordOutcomes(std::uint64_t Ok, std::uint64_t Failed, instant Now);
  /// Moves from open to half open when the time is over. Returns true then.
  bool advance(instant Now);
  /// Opens at once; used on takeover of an upstream that was set aside.
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
  std::uint64_t Trials = 0;
  instant OpenUntil;
  duration OpenTime{};
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
