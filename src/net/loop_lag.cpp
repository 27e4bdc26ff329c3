#include "net/loop_lag.h"

#include <asio/post.hpp>

#include <algorithm>

namespace arbutus::net {

namespace {

/// A measurement that is older says nothing about the load now.
constexpr duration Lifetime = 500ms;

} // namespace

loop_lag::loop_lag(asio::io_context &Io)
    : Io(Io), State(std::make_shared<state>()) {}

duration loop_lag::measure(instant Now) {
  if (State->Pending) {
    return std::max(State->Last, Now - State->Posted);
  }
  State->Pending = true;
  State->Posted = Now;
  asio::post(Io, [State = State] {
    State->Pending = false;
    State->Measured = monotonic_clock::now();
    State->Last = State->Measured - State->Posted;
  });
  return Now - State->Measured > Lifetime ? duration::zero() : State->Last;
}

} // namespace arbutus::net
