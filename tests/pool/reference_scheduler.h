#ifndef ARBUTUS_TESTS_POOL_REFERENCE_SCHEDULER_H
#define ARBUTUS_TESTS_POOL_REFERENCE_SCHEDULER_H

#include "base/ids.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace arbutus::pool::testing {

/// Reference for the pool module: a central scheduler that knows every request
/// and every slot at once, with the same order in the simplest form.
class reference_scheduler {
public:
  std::map<team_id, double> Weights;
  std::map<upstream_id, std::uint32_t> Limits;

  void enqueue(std::uint64_t Id, team_id Team, double Estimate) {
    auto &State = Teams[Team];
    if (State.Queue.empty()) {
      if (const auto Least = leastBacklogged()) {
        State.VirtualTime = std::max(State.VirtualTime, *Least);
      }
    }
    State.Queue.emplace_back(Id, Estimate);
  }

  /// Starts requests while slots are free and requests wait.
  std::vector<std::pair<std::uint64_t, upstream_id>> start() {
    std::vector<std::pair<std::uint64_t, upstream_id>> Out;
    while (true) {
      const auto Upstream = freest();
      const auto Team = least();
      if (!Upstream || !Team) {
        return Out;
      }
      const auto [Id, Estimate] = Teams[*Team].Queue.front();
      Teams[*Team].Queue.pop_front();
      Running[Id] = {*Team, *Upstream, Estimate};
      charge(*Team, Estimate);
      ++Used[*Upstream];
      Out.emplace_back(Id, *Upstream);
    }
  }

  void updateCost(std::uint64_t Id, double Cost) {
    auto &Request = Running.at(Id);
    if (Cost > Request.Charged) {
      charge(Request.Team, Cost - Request.Charged);
      Request.Charged = Cost;
    }
  }

  void complete(std::uint64_t Id, double Cost) {
    const auto Request = Running.at(Id);
    charge(Request.Team, Cost - Request.Charged);
    --Used[Request.Upstream];
    Running.erase(Id);
  }

  /// Charges service of the team by another scheduler of the same fleet.
  void chargeRemote(team_id Team, double Cost) { charge(Team, Cost); }

  std::size_t waiting(team_id Team) { return Teams[Team].Queue.size(); }

private:
  struct team_state {
    double VirtualTime = 0;
    std::deque<std::pair<std::uint64_t, double>> Queue;
  };
  struct running_request {
    team_id Team{};
    upstream_id Upstream{};
    double Charged = 0;
  };

  void charge(team_id Team, double Cost) {
    const auto Weight = Weights.count(Team) > 0 ? Weights[Team] : 1;
    Teams[Team].VirtualTime += Cost / Weight;
  }

  std::optional<team_id> least() {
    std::optional<team_id> Best;
    for (const auto &[Team, State] : Teams) {
      if (!State.Queue.empty() &&
          (!Best || State.VirtualTime < Teams[*Best].VirtualTime)) {
        Best = Team;
      }
    }
    return Best;
  }

  std::optional<double> leastBacklogged() {
    const auto Team = least();
    return Team ? std::optional(Teams[*Team].VirtualTime) : std::nullopt;
  }

  std::optional<upstream_id> freest() {
    std::optional<upstream_id> Best;
    double BestShare = 0;
    for (const auto &[Upstream, Limit] : Limits) {
      if (Used[Upstream] < Limit) {
        const double Share =
            static_cast<double>(Limit - Used[Upstream]) / Limit;
        if (Share > BestShare) {
          BestShare = Share;
          Best = Upstream;
        }
      }
    }
    return Best;
  }

  std::map<team_id, team_state> Teams;
  std::map<upstream_id, std::uint32_t> Used;
  std::map<std::uint64_t, running_request> Running;
};

} // namespace arbutus::pool::testing

#endif
