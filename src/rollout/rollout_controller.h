#ifndef ARBUTUS_ROLLOUT_ROLLOUT_CONTROLLER_H
#define ARBUTUS_ROLLOUT_ROLLOUT_CONTROLLER_H

#include "base/clock.h"
#include "base/ids.h"
#include "membership/node_session.h"
#include "rollout/version_evidence.h"
#include "rollout/version_verdict.h"
#include "store/rollout.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::rollout {

/// State of the fleet that a decision on a rollout rests on.
struct rollout_input {
  std::string_view Service;
  const store::rollout *Rollout = nullptr;
  /// Revision at which the rollout entered its phase.
  revision PhaseRevision{};
  /// Slots of the upstreams in service, by version.
  std::uint64_t TargetSlots = 0;
  std::uint64_t ReplacedSlots = 0;
  /// The leader's log time.
  std::int64_t NowMs = 0;
  /// Longest time that a request of the service may run.
  duration MaxRequestTime{};
  std::vector<membership::live_node> Nodes;
};

/// The next phase of a rollout.
struct rollout_decision {
  store::rollout_phase Phase = store::rollout_phase::Shifting;
  std::string Reason;
};

/// Decides on the phases of rollouts, from the reports of all routers. Every
/// voter keeps one, because heartbeats go to all voters; a new leader then
/// knows what the former one knew. Not thread-safe; the current time is always
/// an argument.
class rollout_controller {
public:
  /// Records what a router's heartbeat says. `Applied` is the configuration
  /// revision that it has applied.
  void onReports(node_id From, incarnation Incarnation, revision Applied,
                 const std::vector<rollout_report> &Reports, instant Now);

  /// Returns the next phase if it is due.
  [[nodiscard]] std::optional<rollout_decision>
  decide(const rollout_input &Input, instant Now);

  /// Forgets services without a running rollout.
  void retain(const std::vector<std::string> &RunningServices);

  /// Judgement of the latest `decide`, for operators; null if there is none.
  [[nodiscard]] const version_judgement *
  judgementOf(std::string_view Service) const;

private:
  struct node_report {
    std::uint64_t Process = 0;
    incarnation Incarnation{};
    revision Applied{};
    std::uint32_t RunningOnReplaced = 0;
    version_evidence Evidence;
  };
  struct sum_at {
    instant At;
    version_evidence Sum;
  };
  struct rollout_state {
    std::int64_t StartedMs = 0;
    std::map<node_id, node_report> Reports;
    version_evidence Sum;
    /// Earlier sums, from the oldest to the newest.
    std::deque<sum_at> History;
    version_judgement Judgement;
    /// Since when the new version has had no upstream in service.
    std::optional<instant> TargetMissingSince;
  };

  rollout_state &stateOf(std::string_view Service, std::int64_t StartedMs);
  static void recordHistory(rollout_state &State, instant Now);
  [[nodiscard]] static version_judgement judge(const rollout_state &State);
  [[nodiscard]] static std::optional<rollout_decision>
  decideCanary(const rollout_state &State, const rollout_input &Input);
  [[nodiscard]] static std::optional<rollout_decision>
  decideExpansion(const rollout_state &State, const rollout_input &Input,
                  instant Now);
  [[nodiscard]] static std::optional<rollout_decision>
  decideShift(const rollout_state &State, const rollout_input &Input,
              instant Now);
  [[nodiscard]] static bool isDrained(const rollout_state &State,
                                      const rollout_input &Input);

  std::map<std::string, rollout_state, std::less<>> States;
};

} // namespace arbutus::rollout

#endif
