#ifndef ARBUTUS_TOOLS_COMMON_ENGINE_COLD_STATE_H
#define ARBUTUS_TOOLS_COMMON_ENGINE_COLD_STATE_H

#include "base/clock.h"

#include <cstdint>

namespace arbutus::tools {

struct cold_options {
  /// Completed requests after which the engine is warm; 0 turns this off.
  std::int64_t WarmRequests = 0;
  /// Time after which the engine is warm; zero turns this off.
  duration WarmTime{};
};

/// Says whether an engine has warmed up since its start or last cold moment.
/// With both options off it is always warm.
class cold_state {
public:
  cold_state(cold_options Options, instant Start) noexcept
      : Options(Options), Since(Start) {}

  void makeCold(instant Now) noexcept {
    Since = Now;
    Completed = 0;
    Warm = false;
  }

  void makeWarm() noexcept { Warm = true; }

  void countCompleted() noexcept { ++Completed; }

  [[nodiscard]] bool cold(instant Now) noexcept {
    const bool EnoughRequests =
        Options.WarmRequests > 0 && Completed >= Options.WarmRequests;
    const bool EnoughTime =
        Options.WarmTime > duration(0) && Now - Since >= Options.WarmTime;
    const bool Off =
        Options.WarmRequests == 0 && Options.WarmTime == duration(0);
    Warm = Warm || EnoughRequests || EnoughTime || Off;
    return !Warm;
  }

private:
  cold_options Options;
  instant Since;
  std::int64_t Completed = 0;
  bool Warm = false;
};

} // namespace arbutus::tools

#endif
