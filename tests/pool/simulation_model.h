#ifndef ARBUTUS_TESTS_POOL_SIMULATION_MODEL_H
#define ARBUTUS_TESTS_POOL_SIMULATION_MODEL_H

#include "base/codec.h"
#include "pool/pool.h"
#include "reference_scheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace arbutus::pool::testing {

constexpr duration Step = 500us;
constexpr duration MessageDelay = 1ms;
constexpr duration SampleInterval = 10ms;

/// A request of the input. The schedulers know only its `Estimate`.
struct sim_request {
  std::uint64_t Id = 0;
  instant Arrival;
  std::uint32_t Router = 0;
  team_id Team{};
  double Cost = 0, Estimate = 0;
  duration Time{};
  std::optional<upstream_id> Preferred;
};

struct sim_team {
  /// Offered load as a share of all slots.
  double Load = 0;
  double Weight = 1;
  instant From{}, Until = instant::max();
  /// Router that gets most of the team's requests.
  std::optional<std::uint32_t> Home;
};

struct sim_options {
  std::uint64_t Seed = 1;
  std::uint32_t Routers = 3, Upstreams = 6, MaxLimit = 8;
  duration Length = 20s;
  double Loss = 0;
  duration Jitter{};
  std::uint32_t FirstLimit = 8;
  double GrowthPerSecond = 2;
  std::vector<sim_team> Teams;
};

inline std::vector<sim_team> defaultTeams() {
  std::vector<sim_team> Teams(8);
  for (std::size_t I = 0; I < Teams.size(); ++I) {
    Teams[I].Load = I < 3 ? 0.45 : 0.05;
    Teams[I].Weight = I == 1 ? 2 : 1;
  }
  return Teams;
}

/// Poisson arrivals. Half of a team's requests go to its home router, the
/// others to random ones. Costs are 40 to 1,500 tokens with a heavy tail, and
/// take a millisecond per token.
inline std::vector<sim_request> generateRequests(const sim_options &Options) {
  std::mt19937_64 Random(Options.Seed);
  std::vector<sim_request> Input;
  constexpr double MeanCost = 290;
  const double Slots = Options.Upstreams * Options.MaxLimit;
  for (std::size_t T = 0; T < Options.Teams.size(); ++T) {
    const auto &Team = Options.Teams[T];
    const double Rate = Team.Load * Slots / (MeanCost / 1000);
    std::exponential_distribution<double> Gap(Rate);
    std::lognormal_distribution<double> Cost(5.3, 0.8);
    std::uniform_real_distribution<double> Unit(0, 1);
    const auto Home =
        Team.Home.value_or(static_cast<std::uint32_t>(T * 7 % Options.Routers));
    auto At = std::max(Team.From, instant{} + 10ms);
    const auto End = std::min(Team.Until, instant{} + Options.Length);
    while (Rate > 0) {
      At += duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
      if (At >= End) {
        break;
      }
      sim_request Request;
      Request.Arrival = At;
      Request.Router =
          Unit(Random) < 0.5
              ? Home
              : static_cast<std::uint32_t>(Random() % Options.Routers);
      Request.Team = static_cast<team_id>(T + 1);
      Request.Cost = std::clamp(std::round(Cost(Random)), 40.0, 1500.0);
      Request.Estimate =
          std::max(20.0, std::round(MeanCost * (0.3 + Unit(Random))));
      Request.Time = duration(static_cast<std::int64_t>(Request.Cost * 1000));
      if (Unit(Random) < 0.3) {
        Request.Preferred =
            static_cast<upstream_id>(1 + Random() % Options.Upstreams);
      }
      Input.push_back(Request);
    }
  }
  std::sort(Input.begin(), Input.end(), [](const auto &A, const auto &B) {
    return std::tie(A.Arrival, A.Team, A.Cost) <
           std::tie(B.Arrival, B.Team, B.Cost);
  });
  for (std::size_t I = 0; I < Input.size(); ++I) {
    Input[I].Id = I + 1;
  }
  return Input;
}

/// Largest change of the difference in weighted service between two teams
/// while both were backlogged without interruption.
class fairness_gap_tracker {
public:
  void sample(const std::map<team_id, double> &Served,
              const std::set<team_id> &Backlogged, instant Now) {
    std::set<std::pair<team_id, team_id>> Pairs;
    for (const auto A : Backlogged) {
      for (const auto B : Backlogged) {
        if (A < B) {
          Pairs.emplace(A, B);
        }
      }
    }
    for (auto Next = Open.begin(); Next != Open.end();) {
      Next = Pairs.count(Next->first) > 0 ? std::next(Next) : Open.erase(Next);
    }
    for (const auto &Pair : Pairs) {
      const double Difference =
          valueOr(Served, Pair.first) - valueOr(Served, Pair.second);
      const auto [Found, New] =
          Open.try_emplace(Pair, std::pair(Difference, Difference));
      auto &[Low, High] = Found->second;
      Low = std::min(Low, Difference);
      High = std::max(High, Difference);
      if (High - Low > Largest) {
        Largest = High - Low;
        Teams = Pair;
        At = Now;
      }
    }
  }

  double Largest = 0;
  /// Teams and time of the largest gap.
  std::pair<team_id, team_id> Teams{};
  instant At{};

private:
  static double valueOr(const std::map<team_id, double> &Map, team_id Key) {
    const auto Found = Map.find(Key);
    return Found == Map.end() ? 0 : Found->second;
  }

  std::map<std::pair<team_id, team_id>, std::pair<double, double>> Open;
};

/// Requests that the upstreams of one simulation execute. Each streams its
/// cost at a constant rate.
class simulated_service {
public:
  struct running_request {
    const sim_request *Request;
    upstream_id Upstream;
    std::uint32_t Router;
    instant Start;
    duration Time;
    request_outcome Outcome;
  };

  void start(const sim_request &Request, upstream_id Upstream,
             std::uint32_t Router, instant Now, duration Time,
             request_outcome Outcome) {
    Running[Request.Id] = {&Request, Upstream, Router, Now, Time, Outcome};
    Ends.emplace(Now + Time, Request.Id);
    ++Used[Upstream];
    ++Started[Upstream];
  }
  std::vector<running_request> finish(instant Now) {
    std::vector<running_request> Done;
    while (!Ends.empty() && Ends.top().first <= Now) {
      const auto Found = Running.find(Ends.top().second);
      Ends.pop();
      Done.push_back(Found->second);
      --Used[Found->second.Upstream];
      if (Found->second.Outcome == request_outcome::Ok) {
        Finished[Found->second.Request->Team] += Found->second.Request->Cost;
        ++Completed[Found->second.Request->Team];
      }
      Running.erase(Found);
    }
    return Done;
  }
  /// Cancels the requests of a lost router; their further cost counts as
  /// service to no team.
  void abandon(std::uint32_t Router, instant Now) {
    for (auto &[Id, Request] : Running) {
      if (Request.Router == Router) {
        Finished[Request.Request->Team] += streamed(Request, Now);
        Request.Outcome = request_outcome::Cancelled;
      }
    }
  }
  static double streamed(const running_request &Request, instant Now) {
    return Request.Outcome == request_outcome::Ok
               ? Request.Request->Cost * toSeconds(Now - Request.Start) /
                     toSeconds(Request.Time)
               : 0;
  }
  std::map<team_id, double> served(const std::vector<sim_team> &Teams,
                                   instant Now) const {
    auto Served = Finished;
    for (const auto &[Id, Request] : Running) {
      Served[Request.Request->Team] += streamed(Request, Now);
    }
    for (auto &[Team, Cost] : Served) {
      Cost /= Teams[number(Team) - 1].Weight;
    }
    return Served;
  }

  std::map<std::uint64_t, running_request> Running;
  std::map<upstream_id, std::uint32_t> Used, Started;
  std::map<team_id, std::uint64_t> Completed;

private:
  std::map<team_id, double> Finished;
  std::priority_queue<std::pair<instant, std::uint64_t>,
                      std::vector<std::pair<instant, std::uint64_t>>,
                      std::greater<>>
      Ends;
};

/// The reference scheduler on the same input. `Limits` are those of the fleet
/// at that step.
struct reference_simulation {
  explicit reference_simulation(const sim_options &Options) : Options(Options) {
    for (std::size_t T = 0; T < Options.Teams.size(); ++T) {
      Scheduler.Weights[static_cast<team_id>(T + 1)] = Options.Teams[T].Weight;
    }
  }
  void step(instant Now, const std::map<upstream_id, std::uint32_t> &Limits,
            const std::vector<const sim_request *> &Arrived) {
    Scheduler.Limits = Limits;
    for (const auto &Done : Service.finish(Now)) {
      Scheduler.complete(Done.Request->Id, Done.Request->Cost);
    }
    for (const auto *Request : Arrived) {
      ById[Request->Id] = Request;
      Scheduler.enqueue(Request->Id, Request->Team, Request->Estimate);
    }
    for (const auto &[Id, Upstream] : Scheduler.start()) {
      Service.start(*ById[Id], Upstream, 0, Now, ById[Id]->Time,
                    request_outcome::Ok);
    }
  }
  void sample(instant Now) {
    for (const auto &[Id, Request] : Service.Running) {
      Scheduler.updateCost(Id, simulated_service::streamed(Request, Now));
    }
    std::set<team_id> Backlogged;
    for (const auto &[Team, Weight] : Scheduler.Weights) {
      if (Scheduler.waiting(Team) > 0) {
        Backlogged.insert(Team);
      }
    }
    Gap.sample(Service.served(Options.Teams, Now), Backlogged, Now);
  }

  sim_options Options;
  reference_scheduler Scheduler;
  simulated_service Service;
  fairness_gap_tracker Gap;
  std::map<std::uint64_t, const sim_request *> ById;
};

/// Share of slot time that was free while as many requests waited, and the
/// maximum time that one slot was free while one request waited.
class idle_tracker {
public:
  void sample(const std::map<upstream_id, std::uint32_t> &Limits,
              const std::map<upstream_id, std::uint32_t> &Used,
              std::map<upstream_id, std::uint32_t> &Started,
              std::uint64_t Waiting, std::optional<instant> Oldest,
              instant Now) {
    std::uint64_t FreeSum = 0;
    for (const auto &[Upstream, Limit] : Limits) {
      const auto Found = Used.find(Upstream);
      const auto InUse = Found == Used.end() ? 0 : Found->second;
      const std::uint32_t Free = Limit > InUse ? Limit - InUse : 0;
      auto &Since = FreeSince[Upstream];
      // The slot that was freed first is used first.
      for (auto &Count = Started[Upstream]; Count > 0; --Count) {
        if (!Since.empty()) {
          Since.pop_front();
        }
      }
      while (Since.size() > Free) {
        Since.pop_front();
      }
      while (Since.size() < Free) {
        Since.push_back(Now);
      }
      FreeSum += Free;
      SlotTime += Limit;
      if (Oldest && !Since.empty()) {
        Longest = std::max(Longest, Now - std::max(Since.front(), *Oldest));
      }
    }
    IdleTime += static_cast<double>(std::min(FreeSum, Waiting));
  }
  [[nodiscard]] double share() const { return IdleTime / SlotTime; }

  duration Longest{};

private:
  std::map<upstream_id, std::deque<instant>> FreeSince;
  double IdleTime = 0, SlotTime = 0;
};

} // namespace arbutus::pool::testing

#endif
