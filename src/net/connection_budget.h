#ifndef ARBUTUS_NET_CONNECTION_BUDGET_H
#define ARBUTUS_NET_CONNECTION_BUDGET_H

#include "base/clock.h"

#include <cstdint>

namespace arbutus::net {

/// Limits the rate of new connections while a router has more to do than its
/// processor time allows, for example because one team floods it. The rate
/// falls while the event loop is late and does not catch up, and grows slowly
/// again, so that the router keeps answering as much as it can in time. Not
/// thread-safe; every time is an argument.
class connection_budget {
public:
  /// The loop counts as late above `LongestLag`.
  explicit connection_budget(duration LongestLag) noexcept
      : LongestLag(LongestLag) {}

  /// Decides on one new connection. `Lag` is how late the loop is now.
  [[nodiscard]] bool admit(instant Now, duration Lag) noexcept;

  /// True while some connections are not admitted.
  [[nodiscard]] bool limited() const noexcept { return Limited; }
  /// Admitted connections a second while limited.
  [[nodiscard]] double rate() const noexcept { return Rate; }
  /// Connections that were not admitted so far.
  [[nodiscard]] std::uint64_t refused() const noexcept { return Refused; }

private:
  void endWindow(instant Now) noexcept;
  void lowerRate(duration Length) noexcept;
  [[nodiscard]] bool tryAcquire(instant Now) noexcept;

  duration LongestLag;
  instant WindowStart{};
  /// Lag at the last connection, of this window and of the one before.
  duration LastLag = duration::zero();
  duration LagBefore = duration::zero();
  std::uint32_t Admitted = 0;
  std::uint32_t RefusedInWindow = 0;
  std::uint32_t WindowsUnused = 0;

  bool Limited = false;
  double Rate = 0;
  double Tokens = 0;
  instant Filled{};
  std::uint64_t Refused = 0;
};

} // namespace arbutus::net

#endif
