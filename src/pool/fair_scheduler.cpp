#include "pool/fair_scheduler.h"

#include <algorithm>

namespace arbutus::pool {

void fair_scheduler::setWeight(team_id Team, double Weight) {
  stateOf(Team).Weight = Weight > 0 ? Weight : 1;
}

void fair_scheduler::charge(team_id Team, double Cost) {
  auto &State = stateOf(Team);
  move(Team, State, State.VirtualTime + Cost / State.Weight);
}

void fair_scheduler::setBacklogged(team_id Team, bool Backlogged, bool Raise) {
  auto &State = stateOf(Team);
  if (State.Backlogged == Backlogged) {
    return;
  }
  MinVirtualTime = systemVirtualTime();
  if (!Backlogged) {
    Ranking.erase({State.VirtualTime, Team});
  } else {
    if (Raise && !Ranking.empty()) {
      State.VirtualTime = std::max(State.VirtualTime, Ranking.begin()->first);
    }
    Ranking.insert({State.VirtualTime, Team});
  }
  State.Backlogged = Backlogged;
}

void fair_scheduler::startBusyPeriod() {
  double MaxVirtualTime = MinVirtualTime;
  for (const auto &[Team, State] : Teams) {
    MaxVirtualTime = std::max(MaxVirtualTime, State.VirtualTime);
  }
  raiseVirtualTimes(MaxVirtualTime);
}

void fair_scheduler::raiseVirtualTimes(double VirtualTime) {
  MinVirtualTime = std::max(MinVirtualTime, VirtualTime);
  for (auto &[Team, State] : Teams) {
    move(Team, State, std::max(State.VirtualTime, VirtualTime));
  }
}

double fair_scheduler::systemVirtualTime() const noexcept {
  return Ranking.empty() ? MinVirtualTime
                         : std::max(MinVirtualTime, Ranking.begin()->first);
}

std::optional<team_id>
fair_scheduler::selectTeam(const std::function<bool(team_id)> &Eligible) const {
  for (const auto &[VirtualTime, Team] : Ranking) {
    if (Eligible(Team)) {
      return Team;
    }
  }
  return std::nullopt;
}

double fair_scheduler::virtualTime(team_id Team) const {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? MinVirtualTime : Found->second.VirtualTime;
}

double fair_scheduler::lag(team_id Team) const {
  return Ranking.empty() ? 0 : Ranking.rbegin()->first - virtualTime(Team);
}

double fair_scheduler::weight(team_id Team) const {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? 1 : Found->second.Weight;
}

fair_scheduler::team_state &fair_scheduler::stateOf(team_id Team) {
  const auto [Found, New] = Teams.try_emplace(Team);
  if (New) {
    Found->second.VirtualTime = MinVirtualTime;
  }
  return Found->second;
}

void fair_scheduler::move(team_id Team, team_state &State, double VirtualTime) {
  if (State.Backlogged) {
    Ranking.erase({State.VirtualTime, Team});
    Ranking.insert({VirtualTime, Team});
  }
  State.VirtualTime = VirtualTime;
}

} // namespace arbutus::pool
