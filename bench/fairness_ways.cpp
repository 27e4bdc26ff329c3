// Compares three ways of sharing slots fairly over routers, on the same seeded
// input in virtual time with a message delay of 1 ms:
//   (a) each router schedules alone, with a fixed part of the slots;
//   (b) as (a), by service counters that routers exchange every 100 ms;
//   (c) one grantor, as in src/pool/.
// Also compares a joint circuit breaker with one per router. The idea of the
// joint count is from "Serverless circuit breakers with Durable Entities" by
// Jeff Hollan (Microsoft Azure). Prints one JSON object on the last line.
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
/// Payload of one counter in an exchange: team, 64-bit count and framing.
constexpr std::uint64_t CounterBytes = 12;
/// Part of the usual load (1.6 of the slots) that leaves the pool uncontended.
constexpr double LightLoad = 0.25;
constexpr int RouterCounts[] = {3, 12, 24};

struct figures {
  double Gap = 0;
  double IdleShare = 0;
  double Messages = 0, Bytes = 0;
  std::uint64_t Requests = 0;
};

/// Schedulers (a) and (b): each router is a reference scheduler of its own,
/// with an equal part of the slots.
class split_world {
public:
  split_world(const sim_options &Options, bool Exchange)
      : Options(Options), Exchange(Exchange), Routers(Options.Routers),
        Charged(Options.Routers) {
    std::uint32_t Next = 0;
    for (std::uint32_t U = 1; U <= Options.Upstreams; ++U) {
      Limits[static_cast<upstream_id>(U)] = Options.MaxLimit;
      for (std::uint32_t S = 0; S < Options.MaxLimit; ++S) {
        ++Routers[Next++ % Options.Routers].Limits[static_cast<upstream_id>(U)];
      }
    }
    for (auto &Router : Routers) {
      for (std::size_t T = 0; T < Options.Teams.size(); ++T) {
        Router.Weights[static_cast<team_id>(T + 1)] = Options.Teams[T].Weight;
      }
    }
  }

  void run(const std::vector<sim_request> &Input) {
    std::size_t Next = 0;
    for (instant Now{}; Now < instant{} + Options.Length; Now += Step) {
      for (const auto &Done : Service.finish(Now)) {
        Routers[Done.Router].complete(Done.Request->Id, Done.Request->Cost);
        Charged[Done.Router][Done.Request->Team] += Done.Request->Cost;
      }
      for (; Next < Input.size() && Input[Next].Arrival <= Now; ++Next) {
        const auto &Request = Input[Next];
        ById[Request.Id] = &Request;
        WaitingIds.insert(Request.Id);
        Routers[Request.Router].enqueue(Request.Id, Request.Team,
                                        Request.Estimate);
      }
      if (Exchange && (Now - instant{}) % ExchangeInterval == MessageDelay) {
        exchange();
      }
      for (std::uint32_t R = 0; R < Routers.size(); ++R) {
        for (const auto &[Id, Upstream] : Routers[R].start()) {
          Service.start(*ById[Id], Upstream, R, Now, ById[Id]->Time,
                        request_outcome::Ok);
          WaitingIds.erase(Id);
          ++Figures.Requests;
        }
      }
      if ((Now - instant{}) % SampleInterval == 0us) {
        sample(Now);
      }
      Idle.sample(Limits, Service.Used, Service.Started, WaitingIds.size(),
                  std::nullopt, Now);
      Service.Started.clear();
    }
    Figures.Gap = Gap.Largest;
    Figures.IdleShare = Idle.share();
  }

  figures Figures;

private:
  /// Each router adds what the others have charged since the last exchange.
  void exchange() {
    for (std::uint32_t To = 0; To < Routers.size(); ++To) {
      for (std::uint32_t From = 0; From < Routers.size(); ++From) {
        if (From != To) {
          Figures.Messages += 1;
          for (const auto &[Team, Cost] : Charged[From]) {
            Routers[To].chargeRemote(Team, Cost);
            Figures.Bytes += CounterBytes;
          }
        }
      }
    }
    for (auto &Counters : Charged) {
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
  bool Exchange;
  std::vector<reference_scheduler> Routers;
  std::vector<std::map<team_id, double>> Charged;
  std::map<upstream_id, std::uint32_t> Limits;
  std::map<std::uint64_t, const sim_request *> ById;
  std::set<std::uint64_t> WaitingIds;
  simulated_service Service;
  fairness_gap_tracker Gap;
  idle_tracker Idle;
};

sim_options optionsOf(std::uint64_t Seed, std::uint32_t Routers,
                      duration Length) {
  sim_options Options;
  Options.Seed = Seed;
  Options.Routers = Routers;
  Options.Length = Length;
  Options.Teams = defaultTeams();
  return Options;
}

void add(figures &Sum, const figures &One) {
  Sum.Gap = std::max(Sum.Gap, One.Gap);
  Sum.IdleShare = std::max(Sum.IdleShare, One.IdleShare);
  Sum.Messages += One.Messages;
  Sum.Bytes += One.Bytes;
  Sum.Requests += One.Requests;
}

nlohmann::json toJson(const figures &Figures, double ReferenceGap) {
  const auto Requests = static_cast<double>(Figures.Requests);
  return {{"largest_gap", std::round(Figures.Gap)},
          {"gap_to_naive", std::round(Figures.Gap / ReferenceGap * 100) / 100},
          {"busy_share", std::round((1 - Figures.IdleShare) * 1e4) / 1e4},
          {"requests", Figures.Requests},
          {"messages_per_request",
           std::round(Figures.Messages / Requests * 100) / 100},
          {"bytes_per_request", std::round(Figures.Bytes / Requests)}};
}

/// Requests that a failing upstream gets until it is set aside, by a joint
/// breaker fed by reports that take a batch window and a message delay, and by
/// one breaker per router. Requests arrive every 5 ms at the routers in turn
/// and fail after 10 ms; an opened joint breaker takes a delay to be known.
std::uint64_t sentUntilOpen(std::uint32_t Routers, bool Joint) {
  std::vector<circuit_breaker> Breakers(Joint ? 1 : Routers);
  std::multimap<instant, std::uint32_t> Outcomes;
  std::vector<std::optional<instant>> OpenAt(Breakers.size());
  std::uint64_t Sent = 0;
  std::uint32_t Next = 0;
  for (instant Now{}; Now < instant{} + 60s; Now += 1ms) {
    while (!Outcomes.empty() && Outcomes.begin()->first <= Now) {
      const auto B = Outcomes.begin()->second;
      Outcomes.erase(Outcomes.begin());
      if (Breakers[B].recordOutcomes(0, 1, Now)) {
        OpenAt[B] = Now + (Joint ? MessageDelay : 0us);
      }
    }
    if (std::all_of(OpenAt.begin(), OpenAt.end(),
                    [&](const auto &At) { return At && *At <= Now; })) {
      return Sent;
    }
    if ((Now - instant{}) % 5ms == 0us) {
      const auto B = Joint ? 0 : Next % Routers;
      ++Next;
      if (!OpenAt[B] || *OpenAt[B] > Now) {
        ++Sent;
        Outcomes.emplace(Now + 10ms + (Joint ? 1ms + MessageDelay : 0us), B);
      }
    }
  }
  return Sent; // Not set aside within 60 s.
}

} // namespace

int main(int Count, char **Values) {
  const std::uint64_t Seeds = Count > 1 ? std::stoull(Values[1]) : 5;
  const auto Length =
      std::chrono::seconds(Count > 2 ? std::stoll(Values[2]) : 30);
  nlohmann::json Out = {{"seeds", Seeds}, {"seconds", Length.count()}};
  for (const auto Routers : RouterCounts) {
    figures Alone, Exchanged, Granted, Reference;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const auto Options = optionsOf(Seed, Routers, Length);
      const auto Input = generateRequests(Options);
      split_world First(Options, false), Second(Options, true);
      First.run(Input);
      Second.run(Input);
      add(Alone, First.Figures);
      add(Exchanged, Second.Figures);
      fleet_simulation Simulation(Options, Input);
      Simulation.run();
      add(Granted,
          {Simulation.Gap.Largest, Simulation.Idle.share(),
           static_cast<double>(Simulation.Messages),
           static_cast<double>(Simulation.ReportBytes + Simulation.GrantBytes),
           Simulation.Dispatched});
      add(Reference,
          {Simulation.Reference.Gap.Largest, 0, 0, 0, Simulation.Dispatched});
      std::cerr << Routers << " routers, seed " << Seed << " done\n";
    }
    const auto Key = std::to_string(Routers);
    Out["ways"][Key] = {{"a_alone", toJson(Alone, Reference.Gap)},
                        {"b_exchanged", toJson(Exchanged, Reference.Gap)},
                        {"c_grantor", toJson(Granted, Reference.Gap)},
                        {"naive_largest_gap", std::round(Reference.Gap)}};
    auto Light = optionsOf(1, Routers, Length);
    for (auto &Team : Light.Teams) {
      Team.Load *= LightLoad;
    }
    fleet_simulation Calm(Light, generateRequests(Light));
    Calm.run();
    const auto Sent = static_cast<double>(Calm.Dispatched);
    Out["uncontended"][Key] = {
        {"dispatched_at_once",
         std::round(static_cast<double>(Calm.DispatchedImmediately) / Sent *
                    1e4) /
             1e4},
        {"messages_per_request",
         std::round(static_cast<double>(Calm.Messages) / Sent * 100) / 100},
        {"longest_idle_while_waiting_us", toMicros(Calm.Idle.Longest)}};
    Out["breaker_requests_until_open"][Key] = {
        {"joint", sentUntilOpen(Routers, true)},
        {"per_router", sentUntilOpen(Routers, false)}};
  }
  std::cout << Out.dump() << "\n";
}
