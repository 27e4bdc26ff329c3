#ifndef ARBUTUS_TOOLS_COMMON_LAGGED_H
#define ARBUTUS_TOOLS_COMMON_LAGGED_H

#include "base/clock.h"

#include <deque>
#include <utility>

namespace arbutus::tools {

/// A value that observers see as it was some time ago.
template <class T> class lagged {
public:
  explicit lagged(duration Lag) : Lag(Lag) {}

  /// Records the value that holds from `Now` on.
  void record(instant Now, T Value) {
    drop(Now);
    History.emplace_back(Now, std::move(Value));
  }

  /// The value as it was one lag before `Now`; the first recorded value if
  /// none is as old as that. Requires an earlier `record`.
  [[nodiscard]] const T &at(instant Now) {
    drop(Now);
    return History.front().second;
  }

private:
  void drop(instant Now) {
    while (History.size() > 1 && History[1].first <= Now - Lag) {
      History.pop_front();
    }
  }

  duration Lag;
  std::deque<std::pair<instant, T>> History;
};

} // namespace arbutus::tools

#endif
