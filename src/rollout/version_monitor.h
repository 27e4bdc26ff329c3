#ifndef ARBUTUS_ROLLOUT_VERSION_MONITOR_H
#define ARBUTUS_ROLLOUT_VERSION_MONITOR_H

#include "base/clock.h"
#include "base/ids.h"
#include "rollout/version_evidence.h"
#include "store/traffic_view.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::rollout {

/// How an attempt at an upstream ended, as far as it says something about the
/// upstream's version.
struct attempt_observation {
  /// The upstream ran the request and answered.
  bool Answered = false;
  /// The answer is a server error.
  bool Failed = false;
  /// Time until the answer was complete, or until the request was given up;
  /// nothing if neither says how fast the upstream is.
  std::optional<duration> Time;
};

/// What a router has seen of the versions of its services' upstreams. The I/O
/// threads record it; the control thread sends it to the voters. Thread-safe;
/// the current time is always an argument.
class version_monitor {
public:
  version_monitor();

  /// Takes over the running rollouts. Evidence of others is dropped.
  void setView(const store::traffic_view &Traffic, instant Now);

  /// Counts a request as running at an upstream of this version. Called before
  /// the last check whether it may be sent there.
  void onSent(std::string_view Service, const std::string &Version);
  /// Ends what `onSent` began.
  void onEnded(std::string_view Service, const std::string &Version);

  /// True if there is a running rollout.
  [[nodiscard]] bool isActive() const noexcept {
    return Active.load(std::memory_order_relaxed);
  }
  /// Records the end of an attempt.
  void onObserved(std::string_view Service, const std::string &Route,
                  const std::string &Version, upstream_id Upstream,
                  const attempt_observation &Observed, instant Now);

  /// One report for each running rollout.
  [[nodiscard]] std::vector<rollout_report> reports() const;

private:
  struct observed_rollout {
    std::int64_t StartedMs = 0;
    std::string Target;
    version_evidence Evidence;
    /// When this router first knew each upstream of the new version, and
    /// whether it was cold at last.
    std::map<upstream_id, instant> KnownSince;
    std::map<upstream_id, bool> IsCold;
  };

  void learnUpstreams(observed_rollout &Rollout, std::string_view Service,
                      const store::traffic_view &Traffic, instant Now);

  const std::uint64_t Process;
  mutable std::mutex Mutex;
  std::map<std::string, observed_rollout, std::less<>> Rollouts;
  /// Running requests by service and version.
  std::map<std::string, std::map<std::string, std::uint32_t>, std::less<>>
      Running;
  std::atomic<bool> Active = false;
};

} // namespace arbutus::rollout

#endif
