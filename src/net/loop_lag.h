#ifndef ARBUTUS_NET_LOOP_LAG_H
#define ARBUTUS_NET_LOOP_LAG_H

#include "base/clock.h"
#include <asio/io_context.hpp>

#include <memory>

namespace arbutus::net {

/// How long an event loop takes for one turn: the sign that its thread has more
/// to do than its processor time allows. Measured by handlers that queue behind
/// all that is due, and only when asked for, so that an idle loop is not woken.
/// Use it on the thread that runs the io_context only.
class loop_lag {
public:
  explicit loop_lag(asio::io_context &Io);

  /// Duration of the last turn, or of the present one if that is longer. Zero
  /// after a time without measurements. Starts the next measurement.
  [[nodiscard]] duration measure(instant Now);

private:
  struct state {
    instant Posted;
    instant Measured;
    duration Last = duration::zero();
    bool Pending = false;
  };

  asio::io_context &Io;
  /// Shared with the posted handler, which may outlive this object.
  std::shared_ptr<state> State;
};

} // namespace arbutus::net

#endif
