#ifndef ARBUTUS_BASE_CLOCK_H
#define ARBUTUS_BASE_CLOCK_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace arbutus {

/// Clock for intervals, timeouts and leases; wall clock changes do not affect
/// it. Code without I/O takes an `instant` as parameter and never calls
/// `now()`.
struct monotonic_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard

  /// Time since the boot of the machine. Unlike `std::chrono::steady_clock` it
  /// includes time in which the machine was suspended, so that leases expire
  /// during a suspension.
  [[nodiscard]] static time_point now() noexcept {
    timespec Time{};
    ::clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
};

using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

[[nodiscard]] constexpr std::int64_t toMicros(duration Value) noexcept {
  return Value.count();
}
[[nodiscard]] constexpr std::int64_t toMicros(instant Value) noexcept {
  return Value.time_since_epoch().count();
}
[[nodiscard]] constexpr double toSeconds(duration Value) noexcept {
  return static_cast<double>(Value.count()) / 1e6;
}
[[nodiscard]] constexpr instant instantFromMicros(std::int64_t Value) noexcept {
  return instant(duration(Value));
}

/// Wall clock in milliseconds since the Unix epoch. Only for logs, responses
/// and incarnation numbers, never for leases.
[[nodiscard]] inline std::int64_t wallClockMillis() noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace arbutus

#endif
