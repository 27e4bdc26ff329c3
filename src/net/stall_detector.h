#ifndef ARBUTUS_NET_STALL_DETECTOR_H
#define ARBUTUS_NET_STALL_DETECTOR_H

#include "base/clock.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <optional>

namespace arbutus::net {

/// Notices when an event loop has not run, because its process was frozen or
/// its thread was held up. What is read shortly after may have waited in the
/// kernel since the stall began. The pure part, with the time as an argument.
class stall_record {
public:
  /// Records a turn of the loop. Stalls are measured by a clock that goes on
  /// while the VM is suspended.
  void onTurn(instant Now) noexcept;

  /// When bytes that are read at `Now` can have arrived at the earliest.
  [[nodiscard]] instant earliestArrival(instant Now) const noexcept;

private:
  [[nodiscard]] bool isStall(instant Now) const noexcept;

  std::optional<instant> LastTurn;
  /// The last stall, if there was one.
  std::optional<instant> StallStart;
  instant StallEnd;
};

/// Records the turns of one event loop by a timer. Use it on the thread that
/// runs the io_context only.
class stall_detector {
public:
  explicit stall_detector(asio::io_context &Io) : Timer(Io) {}

  /// Starts the timer, which runs until this object is destroyed.
  void start();

  [[nodiscard]] instant earliestArrival(instant Now) const noexcept {
    return Record.earliestArrival(Now);
  }

private:
  asio::steady_timer Timer;
  stall_record Record;
};

} // namespace arbutus::net

#endif
