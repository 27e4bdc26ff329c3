// Compares three ways to share slots fairly between routers, with the same
// seeded requests, simulated time and a message delay of 1 ms:
//   (a) each router schedules alone, with a fixed part of the slots;
//   (b) as (a), but the routers exchange the cost charged to each team every
//       100 ms;
//   (c) one grantor hands out all slots, as in src/pool/.
// Also compares a circuit breaker shared by all routers with one per router.
// The idea of counting failures in one place is from "Serverless circuit
// breakers with Durable Entities" by Jeff Hollan (Microsoft Azure).
// The last line of the output is one JSON object.
//
// Usage: bench_fairness_ways [SEEDS] [SECONDS]
#include "../tests/pool/fleet_simulation.h"
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>

using namespace arbutus;
using namespace arbutus::pool;
using namespace arbutus::pool::testing;

namespace {

constexpr duration ExchangeInterval = 100ms;
/// Size of one counter in an exchange: team, 64-bit count and framing.
constexpr std::uint64_t CounterBytes = 12;
/// The default teams together ask for 1.6 times the slots. This factor on their
/// load leaves the pool uncontended.
constexpr double LightLoadFactor = 0.25;
constexpr int RouterCounts[] = {3, 12, 24};

struct fairness_result {
  double MaxGap = 0;
  double IdleShare = 0;
  double Messages = 0, Bytes = 0;
  std::uint64_t Requests = 0;
};

/// Simulates (a) and (b): each router runs its own reference scheduler with an
/// equal part of the slots.
class split_slots_simulation {
public:
  split_slots_simulation(const sim_options &Options, bool ExchangeCounters)
      : Options(Options), ExchangeCounters(ExchangeCounters),
        Routers(Options.Routers), CostSinceExchange(Options.Routers) {
    std::uint32_t NextRouter = 0;
    for (std::uint32_t U = 1; U <= Options.Upstreams; ++U) {
      Limits[static_cast<upstream_id>(U)] = Options.MaxLimit;
      for (std::uint32_t S = 0; S < Options.MaxLimit; ++S) {
        ++Routers[NextRouter++ % Options.Routers]
              .Limits[static_cast<upstream_id>(U)];
      }
    }
    for (auto &Router : Routers) {
      for (std::size_t T = 0; T < Options.Teams.size(); ++T) {
        Router.Weights[static_cast<team_id>(T + 1)] = Options.Teams[T].Weight;
      }
    }
  }

  void run(const std::vector<sim_request> &Input) {
    std::size_t NextRequest = 0;
    for (instant Now{}; Now < instant{} + Options.Length; Now += Step) {
      for (const auto &Done : Service.finish(Now)) {
        Routers[Done.Router].complete(Done.Request->Id, Done.Request->Cost);
        CostSinceExchange[Done.Router][Done.Request->Team] +=
            Done.Request->Cost;
      }
      for (; NextRequest < Input.size() && Input[NextRequest].Arrival <= Now;
           ++NextRequest) {
        const auto &Request = Input[NextRequest];
        RequestById[Request.Id] = &Request;
        WaitingIds.insert(Request.Id);
        Routers[Request.Router].enqueue(Request.Id, Request.Team,
                                        Request.Estimate);
      }
      if (ExchangeCounters &&
          (Now - instant{}) % ExchangeInterval == MessageDelay) {
        exchangeCounters();
      }
      for (std::uint32_t R = 0; R < Routers.size(); ++R) {
        for (const auto &[Id, Upstream] : Routers[R].start()) {
          Service.start(*RequestById[Id], Upstream, R, Now,
                        RequestById[Id]->Time, request_outcome::Ok);
          WaitingIds.erase(Id);
          ++Result.Requests;
        }
      }
      if ((Now - instant{}) % SampleInterval == 0us) {
        sample(Now);
      }
      Idle.sample(Limits, Service.Used, Service.Started, WaitingIds.size(),
                  std::nullopt, Now);
      Service.Started.clear();
    }
    Result.MaxGap = Gap.Largest;
    Result.IdleShare = Idle.share();
  }

  fairness_result Result;

private:
  /// Adds to each router the cost that the others have charged since the last
  /// exchange.
  void exchangeCounters() {
    for (std::uint32_t To = 0; To < Routers.size(); ++To) {
      for (std::uint32_t From = 0; From < Routers.size(); ++From) {
        if (From != To) {
          Result.Messages += 1;
          for (const auto &[Team, Cost] : CostSinceExchange[From]) {
            Routers[To].chargeRemote(Team, Cost);
            Result.Bytes += CounterBytes;
          }
        }
      }
    }
    for (auto &Counters : CostSinceExchange) {
      Counters.clear();
    }
  }

  void sample(instant Now) {
    for (const auto &[Id, Request] : Service.Running) {
      Routers[Request.Router].updateCost(
          Id, simulated_service::streamed(Request, Now));
    }
    std::set<team_id> Backlogged;
    for (auto &Router : Routers) {
      for (const auto &[Team, Weight] : Router.Weights) {
        if (Router.waiting(Team) > 0) {
          Backlogged.insert(Team);
        }
      }
    }
    Gap.sample(Service.served(Options.Teams, Now), Backlogged, Now);
  }

  sim_options Options;
  bool ExchangeCounters;
  std::vector<reference_scheduler> Routers;
  std::vector<std::map<team_id, double>> CostSinceExchange;
  std::map<upstream_id, std::uint32_t> Limits;
  std::map<std::uint64_t, const sim_request *> RequestById;
  std::set<std::uint64_t> WaitingIds;
  simulated_service Service;
  fairness_gap_tracker Gap;
  idle_tracker Idle;
};

sim_options makeOptions(std::uint64_t Seed, std::uint32_t Routers,
                        duration Length) {
  sim_options Options;
  Options.Seed = Seed;
  Options.Routers = Routers;
  Options.Length = Length;
  Options.Teams = defaultTeams();
  return Options;
}

/// Adds the counts of a run and keeps the maximum gap and idle share.
void addRun(fairness_result &Total, const fairness_result &Run) {
  Total.MaxGap = std::max(Total.MaxGap, Run.MaxGap);
  Total.IdleShare = std::max(Total.IdleShare, Run.IdleShare);
  Total.Messages += Run.Messages;
  Total.Bytes += Run.Bytes;
  Total.Requests += Run.Requests;
}

nlohmann::json toJson(const fairness_result &Result, double ReferenceGap) {
  const auto Requests = static_cast<double>(Result.Requests);
  return {
      {"largest_gap", std::round(Result.MaxGap)},
      {"gap_to_naive", std::round(Result.MaxGap / ReferenceGap * 100) / 100},
      {"busy_share", std::round((1 - Result.IdleShare) * 1e4) / 1e4},
      {"requests", Result.Requests},
      {"messages_per_request",
       std::round(Result.Messages / Requests * 100) / 100},
      {"bytes_per_request", std::round(Result.Bytes / Requests)}};
}

/// Returns how many requests a failing upstream gets until no router sends to
/// it. Requests arrive every 5 ms at the routers in turn and fail after 10 ms.
/// Outcomes reach a shared breaker after a batch window of 1 ms and a message
/// delay; the routers learn after another message delay that it is open.
std::uint64_t requestsUntilOpen(std::uint32_t Routers, bool Shared) {
  std::vector<circuit_breaker> Breakers(Shared ? 1 : Routers);
  std::multimap<instant, std::uint32_t> Outcomes;
  std::vector<std::optional<instant>> OpenAt(Breakers.size());
  std::uint64_t Sent = 0;
  std::uint32_t NextRouter = 0;
  for (instant Now{}; Now < instant{} + 60s; Now += 1ms) {
    while (!Outcomes.empty() && Outcomes.begin()->first <= Now) {
      const auto B = Outcomes.begin()->second;
      Outcomes.erase(Outcomes.begin());
      if (Breakers[B].recordOutcomes(0, 1, Now)) {
        OpenAt[B] = Now + (Shared ? MessageDelay : 0us);
      }
    }
    if (std::all_of(OpenAt.begin(), OpenAt.end(),
                    [&](const auto &At) { return At && *At <= Now; })) {
      return Sent;
    }
    if ((Now - instant{}) % 5ms == 0us) {
      const auto B = Shared ? 0 : NextRouter % Routers;
      ++NextRouter;
      if (!OpenAt[B] || *OpenAt[B] > Now) {
        ++Sent;
        Outcomes.emplace(Now + 10ms + (Shared ? 1ms + MessageDelay : 0us), B);
      }
    }
  }
  return Sent; // A breaker did not open within 60 s.
}

} // namespace

int main(int Argc, char **Argv) {
  const std::uint64_t Seeds = Argc > 1 ? std::stoull(Argv[1]) : 5;
  const auto Length = std::chrono::seconds(Argc > 2 ? std::stoll(Argv[2]) : 30);
  nlohmann::json Output = {{"seeds", Seeds}, {"seconds", Length.count()}};
  for (const auto Routers : RouterCounts) {
    fairness_result Alone, Exchanged, Granted, Reference;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const auto Options = makeOptions(Seed, Routers, Length);
      const auto Input = generateRequests(Options);
      split_slots_simulation AloneSimulation(Options, false),
          ExchangeSimulation(Options, true);
      AloneSimulation.run(Input);
      ExchangeSimulation.run(Input);
      addRun(Alone, AloneSimulation.Result);
      addRun(Exchanged, ExchangeSimulation.Result);
      fleet_simulation Simulation(Options, Input);
      Simulation.run();
      addRun(Granted, {Simulation.Gap.Largest, Simulation.Idle.share(),
                       static_cast<double>(Simulation.Messages),
                       static_cast<double>(Simulation.ReportBytes +
                                           Simulation.GrantBytes),
                       Simulation.Dispatched});
      addRun(Reference, {Simulation.Reference.Gap.Largest, 0, 0, 0,
                         Simulation.Dispatched});
      std::cerr << Routers << " routers, seed " << Seed << " done\n";
    }
    const auto Key = std::to_string(Routers);
    Output["ways"][Key] = {{"a_alone", toJson(Alone, Reference.MaxGap)},
                           {"b_exchanged", toJson(Exchanged, Reference.MaxGap)},
                           {"c_grantor", toJson(Granted, Reference.MaxGap)},
                           {"naive_largest_gap", std::round(Reference.MaxGap)}};
    auto LightOptions = makeOptions(1, Routers, Length);
    for (auto &Team : LightOptions.Teams) {
      Team.Load *= LightLoadFactor;
    }
    fleet_simulation Uncontended(LightOptions, generateRequests(LightOptions));
    Uncontended.run();
    const auto Dispatched = static_cast<double>(Uncontended.Dispatched);
    Output["uncontended"][Key] = {
        {"dispatched_at_once",
         std::round(static_cast<double>(Uncontended.DispatchedImmediately) /
                    Dispatched * 1e4) /
             1e4},
        {"messages_per_request",
         std::round(static_cast<double>(Uncontended.Messages) / Dispatched *
                    100) /
             100},
        {"longest_idle_while_waiting_us", toMicros(Uncontended.Idle.Longest)}};
    Output["breaker_requests_until_open"][Key] = {
        {"joint", requestsUntilOpen(Routers, true)},
        {"per_router", requestsUntilOpen(Routers, false)}};
  }
  std::cout << Output.dump() << "\n";
}
