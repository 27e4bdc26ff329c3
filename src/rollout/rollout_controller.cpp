#include "rollout/rollout_controller.h"

#include <fmt/format.h>

#include <algorithm>

namespace arbutus::rollout {

namespace {

using store::rollout_phase;

/// A version that turns bad late, or under load only, shows in the latest
/// answers before it shows in all of them.
constexpr duration RecentTime = 2s;
constexpr duration HistoryInterval = 500ms;
/// Time before the deadline at which a canary may end with a good verdict, and
/// at which it ends in any case, as shares of the whole time and as the longest
/// ones. Requests that run on the old version need the rest to end.
constexpr double EarlyEndShare = 2.0 / 3;
constexpr std::int64_t MaxEarlyEndMs = 14'000;
constexpr double LateEndShare = 1.0 / 2;
constexpr std::int64_t MaxLateEndMs = 10'000;
/// Faults that show under load, or on a route with few requests, show in the
/// larger share within this time.
constexpr duration MinExpandingTime = 1500ms;
/// It takes this long while the version looks worse on some route, and is
/// rolled back if it still does.
constexpr duration MaxExpandingTime = 3s;
/// Answers without which a version is not taken into use at all.
constexpr std::uint64_t MinAnswers = 12;
/// Share of the old version's slots that the new one must have, because it
/// takes over all requests.
constexpr double MinCapacityShare = 0.8;
/// The new version bears all requests for this long before it has succeeded.
constexpr duration MinShiftTime = 1500ms;
/// Instances that a poll of the list has missed are back after this.
constexpr duration MaxTargetGap = 1s;
/// Longest lease, with the margin for clocks that differ.
constexpr duration SessionTime = 3s;

constexpr const char *NoUpstreamReason =
    "no upstream of the new version is in service";

std::int64_t remainingTime(const store::rollout &Rollout, double Share,
                           std::int64_t MaxMs) {
  const auto Whole =
      static_cast<double>(Rollout.DeadlineMs - Rollout.StartedMs);
  return std::min(MaxMs, static_cast<std::int64_t>(Share * Whole));
}

/// Counts of the new version that came after `Former`, beside all of the old
/// version's.
version_evidence since(const version_evidence &Former,
                       const version_evidence &Sum) {
  version_evidence Recent = Sum;
  for (const auto &[Route, Evidence] : Former) {
    auto &Target = Recent[Route].Target;
    for (const auto &[Group, Answers] : Evidence.Target) {
      Target[Group] -= Answers;
    }
  }
  return Recent;
}

duration timeInPhase(const rollout_input &Input) {
  return std::chrono::milliseconds(Input.NowMs - Input.Rollout->PhaseStartedMs);
}

bool hasCapacity(const rollout_input &Input) {
  return Input.TargetSlots != 0 &&
         static_cast<double>(Input.TargetSlots) >=
             MinCapacityShare * static_cast<double>(Input.ReplacedSlots);
}

} // namespace

void rollout_controller::onReports(node_id From, incarnation Incarnation,
                                   revision Applied,
                                   const std::vector<rollout_report> &Reports,
                                   instant Now) {
  for (const auto &Report : Reports) {
    auto &State = stateOf(Report.Service, Report.StartedMs);
    if (Report.StartedMs != State.StartedMs) {
      continue; // of an earlier rollout
    }
    auto &Known = State.Reports[From];
    if (Known.Incarnation > Incarnation) {
      continue; // of an earlier process
    }
    if (Known.Incarnation == Incarnation && Known.Applied > Applied) {
      continue; // overtaken by a later heartbeat
    }
    if (Known.Process == Report.Process) {
      subtract(State.Sum, Known.Evidence);
    }
    // What an earlier process counted stays in the sum.
    Known = {Report.Process, Incarnation, Applied, Report.RunningOnReplaced,
             Report.Evidence};
    add(State.Sum, Known.Evidence);
    recordHistory(State, Now);
  }
}

std::optional<rollout_decision>
rollout_controller::decide(const rollout_input &Input, instant Now) {
  auto &State = stateOf(Input.Service, Input.Rollout->StartedMs);
  if (Input.TargetSlots != 0) {
    State.TargetMissingSince.reset();
  } else if (!State.TargetMissingSince) {
    State.TargetMissingSince = Now;
  }
  State.Judgement = judge(State);
  if (State.Judgement.Verdict == version_verdict::Bad) {
    return rollout_decision{rollout_phase::RolledBack, State.Judgement.Reason};
  }
  switch (Input.Rollout->Phase) {
  case rollout_phase::Canary:
    return decideCanary(State, Input);
  case rollout_phase::Expanding:
    return decideExpansion(State, Input, Now);
  case rollout_phase::Shifting:
    return decideShift(State, Input, Now);
  default:
    return std::nullopt;
  }
}

void rollout_controller::retain(
    const std::vector<std::string> &RunningServices) {
  std::erase_if(States, [&](const auto &Row) {
    return std::find(RunningServices.begin(), RunningServices.end(),
                     Row.first) == RunningServices.end();
  });
}

const version_judgement *
rollout_controller::judgementOf(std::string_view Service) const {
  const auto Found = States.find(Service);
  return Found == States.end() ? nullptr : &Found->second.Judgement;
}

rollout_controller::rollout_state &
rollout_controller::stateOf(std::string_view Service, std::int64_t StartedMs) {
  auto Found = States.find(Service);
  if (Found == States.end()) {
    Found = States.emplace(std::string(Service), rollout_state{}).first;
  }
  if (Found->second.StartedMs < StartedMs) {
    Found->second = {};
    Found->second.StartedMs = StartedMs;
  }
  return Found->second;
}

void rollout_controller::recordHistory(rollout_state &State, instant Now) {
  auto &History = State.History;
  if (History.empty() || Now - History.back().At >= HistoryInterval) {
    History.push_back({Now, State.Sum});
  }
  while (History.size() > 1 && Now - History[1].At >= RecentTime) {
    History.pop_front();
  }
}

version_judgement rollout_controller::judge(const rollout_state &State) {
  auto Judgement = judgeVersion(State.Sum);
  if (Judgement.Verdict != version_verdict::Bad && !State.History.empty()) {
    auto Recent = judgeVersion(since(State.History.front().Sum, State.Sum));
    if (Recent.Verdict == version_verdict::Bad) {
      return Recent;
    }
  }
  return Judgement;
}

std::optional<rollout_decision>
rollout_controller::decideCanary(const rollout_state &State,
                                 const rollout_input &Input) {
  const auto &Rollout = *Input.Rollout;
  const auto LeftMs = Rollout.DeadlineMs - Input.NowMs;
  const bool IsReady =
      State.Judgement.Verdict == version_verdict::Good && hasCapacity(Input);
  if (IsReady &&
      LeftMs <= remainingTime(Rollout, EarlyEndShare, MaxEarlyEndMs)) {
    return rollout_decision{rollout_phase::Expanding, State.Judgement.Reason};
  }
  if (LeftMs > remainingTime(Rollout, LateEndShare, MaxLateEndMs)) {
    return std::nullopt;
  }
  if (!hasCapacity(Input)) {
    return rollout_decision{
        rollout_phase::RolledBack,
        fmt::format("{} slots of the new version are in service, {} of others",
                    Input.TargetSlots, Input.ReplacedSlots)};
  }
  if (State.Judgement.TargetAnswers < MinAnswers) {
    return rollout_decision{
        rollout_phase::RolledBack,
        fmt::format("too few answers: {}", State.Judgement.TargetAnswers)};
  }
  return rollout_decision{rollout_phase::Expanding, State.Judgement.Reason};
}

std::optional<rollout_decision>
rollout_controller::decideExpansion(const rollout_state &State,
                                    const rollout_input &Input, instant Now) {
  if (State.TargetMissingSince &&
      Now - *State.TargetMissingSince >= MaxTargetGap) {
    return rollout_decision{rollout_phase::RolledBack, NoUpstreamReason};
  }
  const duration Time =
      State.Judgement.Suspicious ? MaxExpandingTime : MinExpandingTime;
  if (timeInPhase(Input) < Time) {
    return std::nullopt;
  }
  return rollout_decision{State.Judgement.Suspicious ? rollout_phase::RolledBack
                                                     : rollout_phase::Shifting,
                          State.Judgement.Reason};
}

std::optional<rollout_decision>
rollout_controller::decideShift(const rollout_state &State,
                                const rollout_input &Input, instant Now) {
  if (State.TargetMissingSince &&
      Now - *State.TargetMissingSince >= MaxTargetGap) {
    return rollout_decision{rollout_phase::RolledBack, NoUpstreamReason};
  }
  const bool Lasted = timeInPhase(Input) >= MinShiftTime;
  if (Lasted && !State.TargetMissingSince && isDrained(State, Input)) {
    return rollout_decision{rollout_phase::Succeeded, State.Judgement.Reason};
  }
  return std::nullopt;
}

bool rollout_controller::isDrained(const rollout_state &State,
                                   const rollout_input &Input) {
  const auto HasDrained = [&](node_id Node, incarnation Incarnation) {
    const auto Found = State.Reports.find(Node);
    return Found != State.Reports.end() &&
           Found->second.Incarnation >= Incarnation &&
           Found->second.Applied >= Input.PhaseRevision &&
           Found->second.RunningOnReplaced == 0;
  };
  std::map<node_id, incarnation> Live;
  for (const auto &Node : Input.Nodes) {
    if (Node.Info.TrafficAddress.empty()) {
      continue;
    }
    Live[Node.Info.Node] = Node.Incarnation;
    if (!HasDrained(Node.Info.Node, Node.Incarnation)) {
      return false;
    }
  }
  // A router whose session has ended sends nothing more, but what it sent may
  // still run.
  const bool AllEnded =
      timeInPhase(Input) >= SessionTime + Input.MaxRequestTime;
  return AllEnded ||
         std::all_of(State.Reports.begin(), State.Reports.end(),
                     [&](const auto &Row) {
                       return Live.contains(Row.first) ||
                              HasDrained(Row.first, Row.second.Incarnation);
                     });
}

} // namespace arbutus::rollout
