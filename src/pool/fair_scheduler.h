#ifndef ARBUTUS_POOL_FAIR_SCHEDULER_H
#define ARBUTUS_POOL_FAIR_SCHEDULER_H

#include "base/ids.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace arbutus::pool {

/// Weighted fair order of teams by virtual time, which is the cost served
/// divided by the weight of the team.
class fair_scheduler {
public:
  /// Sets the weight of a team; weights that are not positive count as 1.
  void setWeight(team_id Team, double Weight);

  /// Charges a cost; a negative one corrects an estimate that was too high.
  void charge(team_id Team, double Cost);

  /// Marks a team as backlogged or idle. A team that becomes backlogged is
  /// raised to the minimum virtual time of the backlogged teams, so that it
  /// gains nothing from being idle. `Raise` is false at a takeover, when the
  /// backlogged teams keep their differences in any order of calls.
  void setBacklogged(team_id Team, bool Backlogged, bool Raise = true);

  /// Starts a busy period: raises all teams to the maximum virtual time, so
  /// that earlier use has no effect.
  void startBusyPeriod();

  /// Raises every team, known or not yet, to at least this virtual time.
  void raiseVirtualTimes(double VirtualTime);

  /// Maximum value that the minimum virtual time of backlogged teams has had.
  [[nodiscard]] double systemVirtualTime() const noexcept;

  /// Returns the backlogged team with the minimum virtual time among those for
  /// which `Eligible` is true, or nothing. Ties go to the lower team number.
  [[nodiscard]] std::optional<team_id>
  selectTeam(const std::function<bool(team_id)> &Eligible) const;

  [[nodiscard]] double virtualTime(team_id Team) const;

  /// Difference between the maximum virtual time of the backlogged teams and
  /// that of the given one; 0 if no team is backlogged.
  [[nodiscard]] double lag(team_id Team) const;
  [[nodiscard]] double weight(team_id Team) const;
  [[nodiscard]] bool anyBacklogged() const noexcept { return !Ranking.empty(); }

private:
  struct team_state {
    double Weight = 1;
    double VirtualTime = 0;
    bool Backlogged = false;
  };

  team_state &stateOf(team_id Team);
  void move(team_id Team, team_state &State, double VirtualTime);

  std::map<team_id, team_state> Teams;
  /// Backlogged teams by virtual time, so that a selection need not scan all
  /// teams.
  std::set<std::pair<double, team_id>> Ranking;
  /// Initial virtual time of a team that is not known yet.
  double MinVirtualTime = 0;
};

} // namespace arbutus::pool

#endif
