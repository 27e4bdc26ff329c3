#ifndef ARBUTUS_TESTS_POOL_FLEET_SIMULATION_H
#define ARBUTUS_TESTS_POOL_FLEET_SIMULATION_H

#include "simulation_model.h"

namespace arbutus::pool::testing {

/// Simulates routers, grantor, network, sessions and upstreams in
/// virtual time.
class fleet_simulation {
public:
  struct sim_upstream {
    /// Sent in load reports; increases with a restart that the engine reports.
    std::uint64_t Incarnation = 1;
    /// Start of a cold phase, in which the capacity grows as in slow start.
    std::optional<instant> ColdSince;
    bool Failing = false;
    bool Usable = true;
  };
  struct sim_router {
    std::unique_ptr<router_scheduler> Scheduler;
    std::uint64_t Incarnation = 1;
    bool Up = true, Connected = true;
    session_state Session = session_state::Live;
    instant Lost, Lease;
    /// Ids of waiting requests, in order of arrival.
    std::set<std::uint64_t> Waiting;
  };

  fleet_simulation(const sim_options &Options, std::vector<sim_request> Input)
      : Options(Options), Input(std::move(Input)), Reference(Options),
        Random(Options.Seed ^ 0x9e3779b9) {
    for (std::uint32_t U = 1; U <= Options.Upstreams; ++U) {
      Upstreams[static_cast<upstream_id>(U)] = {};
    }
    Routers.resize(Options.Routers);
    for (std::uint32_t R = 0; R < Options.Routers; ++R) {
      startRouter(R);
    }
    startGrantor();
  }

  /// Runs `Action` at this time of the simulation.
  void at(duration Time, std::function<void(fleet_simulation &)> Action) {
    Actions.emplace(instant{} + Time, std::move(Action));
  }

  void run() {
    for (; Now < instant{} + Options.Length; Now += Step) {
      step();
    }
  }

  void cutOff(std::uint32_t R) {
    Routers[R].Connected = false;
    Routers[R].Lost = Now;
  }
  /// Reconnects a router, with a new incarnation if its session has ended.
  void rejoin(std::uint32_t R) {
    auto &Router = Routers[R];
    Router.Connected = true;
    if (Router.Session == session_state::Ended) {
      Router.Scheduler->startSession(
          static_cast<incarnation>(++Router.Incarnation));
    }
    Router.Session = session_state::Live;
    Router.Scheduler->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
    renewLease(R);
    updateSessions();
  }
  void kill(std::uint32_t R) {
    cutOff(R);
    Routers[R].Up = false;
    Service.abandon(R, Now);
  }
  void restart(std::uint32_t R) {
    ++Routers[R].Incarnation;
    startRouter(R);
    updateSessions();
  }
  void stopGrantor() {
    Grantor.reset();
    GrantorLostAt = Now;
  }
  /// Makes an upstream cold. If `Silent`, its incarnation stays, so that only
  /// the first-token times show it.
  void turnCold(std::uint32_t U, bool Silent) {
    auto &Upstream = Upstreams[static_cast<upstream_id>(U)];
    Upstream.Incarnation += Silent ? 0 : 1;
    Upstream.ColdSince = Now;
  }
  void setUsable(std::uint32_t U, bool Usable) {
    Upstreams[static_cast<upstream_id>(U)].Usable = Usable;
    for (auto &Router : Routers) {
      Router.Scheduler->setUsableUpstreams(usable());
    }
    if (Grantor) {
      Grantor->setUpstreams(configs(), Now);
    }
  }

  /// Number of requests that the upstream can execute at this time.
  [[nodiscard]] double capacity(upstream_id Id) const {
    const auto &Upstream = Upstreams.at(Id);
    return Upstream.ColdSince
               ? std::min<double>(Options.MaxLimit,
                                  Options.FirstLimit +
                                      Options.GrowthPerSecond *
                                          toSeconds(Now - *Upstream.ColdSince))
               : Options.MaxLimit;
  }

  sim_options Options;
  std::vector<sim_request> Input;
  reference_simulation Reference;
  simulated_service Service;
  fairness_gap_tracker Gap;
  idle_tracker Idle;
  instant Now{};
  std::map<upstream_id, sim_upstream> Upstreams;
  std::vector<sim_router> Routers;
  std::unique_ptr<grantor> Grantor;
  std::uint64_t Epoch = 0;
  node_id GrantorNode{};
  std::mt19937_64 Random;
  std::uint64_t Messages = 0, Dispatched = 0, DispatchedImmediately = 0;
  std::uint64_t ReportBytes = 0, GrantBytes = 0, Granted = 0;
  /// Violated invariants as text with the time; empty in a correct run.
  std::vector<std::string> Violations;
  /// Time after which the grantor must have detected a cold upstream.
  duration ColdDetectionTime = 3s;
  std::map<team_id, instant> LastService;
  duration MaxStarvation{};
  std::function<void(instant, const grantor_decisions &)> OnDecisions;

private:
  struct message {
    bool ToGrantor = false;
    std::uint32_t Router = 0;
    std::uint64_t Incarnation = 0;
    std::uint64_t Epoch = 0;
    std::string Payload;
  };

  void step() {
    while (!Actions.empty() && Actions.begin()->first <= Now) {
      const auto Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action(*this);
    }
    updateSessionStates();
    if (!Grantor && Now - GrantorLostAt >= 1s) {
      startGrantor();
    }
    while (!Network.empty() && Network.begin()->first <= Now) {
      const auto Message = std::move(Network.begin()->second);
      Network.erase(Network.begin());
      receive(Message);
    }
    for (const auto &Done : Service.finish(Now)) {
      auto &Router = Routers[Done.Router];
      if (!Router.Up) {
        continue;
      }
      const bool Cold = Upstreams[Done.Upstream].ColdSince &&
                        Now - *Upstreams[Done.Upstream].ColdSince < 10s;
      dispatchAll(
          Done.Router,
          Router.Scheduler->complete(
              Done.Request->Id,
              Done.Outcome == request_outcome::Ok ? Done.Request->Cost : 0,
              Done.Outcome, Cold ? 900ms : 100ms, Now));
    }
    arrivals();
    loadReports();
    for (std::uint32_t R = 0; R < Routers.size(); ++R) {
      auto &Scheduler = *Routers[R].Scheduler;
      if (Routers[R].Up && Scheduler.isReportDue(Now)) {
        const auto Payload = encode(Scheduler.buildReport(Now));
        ReportBytes += Payload.size();
        send({true, R, Routers[R].Incarnation, 0, Payload});
      }
    }
    grant();
    if ((Now - instant{}) % SampleInterval == 0us) {
      sample();
    }
    std::optional<instant> Oldest;
    for (const auto &Router : Routers) {
      if (Router.Up && Router.Connected && !Router.Waiting.empty()) {
        const auto Arrival = ById.at(*Router.Waiting.begin())->Arrival;
        Oldest = std::min(Oldest.value_or(Arrival), Arrival);
      }
    }
    Idle.sample(Limits, Service.Used, Service.Started, waiting(), Oldest, Now);
    Service.Started.clear();
  }

  void grant() {
    if (!Grantor) {
      return;
    }
    auto Result = Grantor->run(Now);
    for (const auto &[Node, Grant] : Result.Grants) {
      const auto Payload = encode(Grant);
      GrantBytes += Payload.size();
      const auto R = number(Node) - 1;
      send({false, R, Routers[R].Incarnation, Epoch, Payload});
    }
    const auto Held = actualOccupancy();
    for (const auto &Record : Result.Decisions.Grants) {
      Granted += Record.Count;
      const auto Id = Record.Upstream;
      if (Grantor->occupied(Id) > Grantor->effectiveLimit(Id)) {
        recordViolation("granted beyond the limit on", number(Id));
      }
      const auto Found = Held.find(Id);
      if (Found != Held.end() && Found->second > Grantor->occupied(Id)) {
        recordViolation("more in use than the grantor counts on", number(Id));
      }
    }
    for (auto &[Id, Upstream] : Upstreams) {
      Limits[Id] = Grantor->effectiveLimit(Id);
    }
    if (OnDecisions) {
      OnDecisions(Now, Result.Decisions);
    }
  }

  void arrivals() {
    std::vector<const sim_request *> Arrived;
    for (; Next < Input.size() && Input[Next].Arrival <= Now; ++Next) {
      const auto &Request = Input[Next];
      Arrived.push_back(&Request);
      auto R = Request.Router;
      while (!Routers[R].Up || Now >= Routers[R].Lease) {
        R = (R + 1) % Options.Routers;
      }
      ById[Request.Id] = &Request;
      pending_request Pending{Request.Id,        Request.Team, Request.Estimate,
                              Request.Preferred, {},           Now + 1h};
      const auto Result = Routers[R].Scheduler->enqueue(Pending, Now);
      if (Result.has_error()) {
        recordViolation("rejected at", R);
      } else if (Result.value()) {
        ++DispatchedImmediately;
        dispatchAll(R, {*Result.value()});
      } else {
        Routers[R].Waiting.insert(Request.Id);
      }
    }
    Reference.step(Now, referenceLimits(), Arrived);
  }

  /// Limits of the reference scheduler: the slots that the fleet can use at
  /// this time. Without a grantor there are none, and slots that an ended
  /// session may occupy do not count.
  std::map<upstream_id, std::uint32_t> referenceLimits() {
    auto Usable = Limits;
    for (auto &[Id, Limit] : Usable) {
      Limit -= std::min(Limit, Grantor ? Grantor->unconfirmedSlots(Id) : Limit);
    }
    return Usable;
  }

  void dispatchAll(std::uint32_t R,
                   const std::vector<dispatch_decision> &List) {
    for (const auto &[Id, Upstream] : List) {
      const auto &Request = *ById.at(Id);
      const auto &State = Upstreams[Upstream];
      if (!Routers[R].Up || Now >= Routers[R].Lease) {
        recordViolation("dispatched without a lease by", R);
      }
      if (!State.Usable) {
        recordViolation("dispatched to an unusable upstream", number(Upstream));
      }
      ++Dispatched;
      Routers[R].Waiting.erase(Id);
      LastService[Request.Team] = Now;
      const auto Running = Service.Used[Upstream];
      const bool Over = Running + 1 > capacity(Upstream);
      const bool MustBeDetected =
          !State.ColdSince || Now - *State.ColdSince > ColdDetectionTime;
      if (Over && MustBeDetected) {
        recordViolation("dispatched beyond the capacity of", number(Upstream));
      }
      if (State.Failing) {
        Service.start(Request, Upstream, R, Now, 10ms, request_outcome::Failed);
      } else if (Over) {
        Service.start(Request, Upstream, R, Now, 20ms,
                      request_outcome::Overloaded);
      } else {
        Service.start(Request, Upstream, R, Now, Request.Time,
                      request_outcome::Ok);
      }
    }
  }

  void loadReports() {
    if ((Now - instant{}) % 250ms != 0us) {
      return;
    }
    for (const auto &[Id, Upstream] : Upstreams) {
      if (Grantor && Measured.count(Id) > 0) {
        Grantor->onLoadReport(Id,
                              {static_cast<incarnation>(Upstream.Incarnation),
                               Measured[Id], 0, Now - 150ms, 100ms},
                              Now);
      }
      Measured[Id] = Service.Used[Id];
    }
  }

  void sample() {
    for (const auto &[Id, Request] : Service.Running) {
      Routers[Request.Router].Scheduler->updateCost(
          Id, simulated_service::streamed(Request, Now));
    }
    std::set<team_id> Backlogged;
    for (std::size_t T = 1; T <= Options.Teams.size(); ++T) {
      const auto Team = static_cast<team_id>(T);
      std::uint32_t Count = 0;
      for (const auto &Router : Routers) {
        Count +=
            Router.Up && Router.Connected ? Router.Scheduler->waiting(Team) : 0;
      }
      if (Count > 0) {
        Backlogged.insert(Team);
        const auto Last = LastService.try_emplace(Team, Now).first->second;
        MaxStarvation = std::max(MaxStarvation, Now - Last);
      } else {
        LastService[Team] = Now;
      }
    }
    Gap.sample(Service.served(Options.Teams, Now), Backlogged, Now);
    Reference.sample(Now);
  }

  std::uint64_t waiting() const {
    std::uint64_t Count = 0;
    for (const auto &Router : Routers) {
      Count += Router.Up && Router.Connected ? Router.Scheduler->waiting() : 0;
    }
    return Count;
  }

  /// Requests in flight plus the idle slots that can still be used.
  std::map<upstream_id, std::uint32_t> actualOccupancy() const {
    auto Held = Service.Used;
    for (const auto &Router : Routers) {
      for (const auto &[Id, Upstream] : Upstreams) {
        Held[Id] += Router.Up && Now < Router.Lease
                        ? Router.Scheduler->idleSlots(Id)
                        : 0;
      }
    }
    return Held;
  }

  void updateSessionStates() {
    bool Changed = false;
    for (auto &Router : Routers) {
      if (Router.Connected) {
        if ((Now - instant{}) % 300ms == 0us) {
          renewLease(static_cast<std::uint32_t>(&Router - Routers.data()));
        }
        continue;
      }
      const auto Silent = Now - Router.Lost;
      const auto State = Silent >= 3200ms ? session_state::Ended
                         : Silent >= 1s   ? session_state::Suspected
                                          : session_state::Live;
      Changed = Changed || State != Router.Session;
      Router.Session = State;
    }
    if (Changed) {
      updateSessions();
    }
  }

  void updateSessions() {
    std::vector<session_info> List;
    for (std::uint32_t R = 0; R < Routers.size(); ++R) {
      List.push_back({static_cast<node_id>(R + 1),
                      static_cast<incarnation>(Routers[R].Incarnation),
                      Routers[R].Session});
    }
    if (Grantor) {
      Grantor->setRouterSessions(List, Now);
    }
  }

  void startRouter(std::uint32_t R) {
    auto &Router = Routers[R];
    Router.Waiting.clear();
    router_scheduler_options Scheduler;
    Scheduler.MaxQueuedPerTeam = 100000;
    Router.Scheduler = std::make_unique<router_scheduler>(
        pool_id{1}, static_cast<incarnation>(Router.Incarnation), Scheduler);
    Router.Up = Router.Connected = true;
    Router.Session = session_state::Live;
    Router.Scheduler->setUsableUpstreams(usable());
    Router.Scheduler->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
    renewLease(R);
  }

  void renewLease(std::uint32_t R) {
    Routers[R].Lease = Now + 2800ms;
    dispatchAll(R, Routers[R].Scheduler->setLease(Routers[R].Lease, Now));
  }

  void startGrantor() {
    ++Epoch;
    GrantorNode = static_cast<node_id>(1000 + Epoch);
    Grantor = std::make_unique<grantor>(pool_id{1}, static_cast<epoch>(Epoch),
                                        grantor_options{}, Now);
    std::vector<std::pair<team_id, double>> Weights;
    for (std::size_t T = 0; T < Options.Teams.size(); ++T) {
      Weights.emplace_back(static_cast<team_id>(T + 1),
                           Options.Teams[T].Weight);
    }
    Grantor->setUpstreams(configs(), Now);
    Grantor->setTeamWeights(Weights);
    updateSessions();
    // Before any report, the grantor counts the whole capacity as occupied.
    (void)Grantor->run(Now);
    for (auto &Router : Routers) {
      Router.Scheduler->setTeamWeights(Weights);
      if (Router.Connected) {
        Router.Scheduler->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
      }
    }
  }

  std::vector<upstream_config> configs() const {
    std::vector<upstream_config> List;
    for (const auto &[Id, Upstream] : Upstreams) {
      List.push_back({Id, Options.MaxLimit, Options.FirstLimit,
                      Options.GrowthPerSecond, Upstream.Usable,
                      std::to_string(number(Id) % 3)});
    }
    return List;
  }

  std::vector<upstream_id> usable() const {
    std::vector<upstream_id> List;
    for (const auto &[Id, Upstream] : Upstreams) {
      if (Upstream.Usable) {
        List.push_back(Id);
      }
    }
    return List;
  }

  void send(message Message) {
    ++Messages;
    const auto Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    const auto Late = Options.Jitter == duration{}
                          ? duration{}
                          : duration(static_cast<std::int64_t>(
                                Random() % toMicros(Options.Jitter)));
    if (Draw >= Options.Loss && Routers[Message.Router].Connected) {
      Network.emplace(Now + MessageDelay + Late, std::move(Message));
    }
  }

  void receive(const message &Message) {
    auto &Router = Routers[Message.Router];
    if (!Router.Connected) {
      return;
    }
    const auto Node = static_cast<node_id>(Message.Router + 1);
    if (Message.ToGrantor) {
      if (Grantor) {
        Grantor->onReport(Node, static_cast<incarnation>(Message.Incarnation),
                          decode<pool_report>(Message.Payload).value(), Now);
      }
    } else if (Router.Up) {
      dispatchAll(Message.Router,
                  Router.Scheduler->onGrant(
                      static_cast<node_id>(1000 + Message.Epoch),
                      decode<pool_grant>(Message.Payload).value(), Now));
    }
  }

  void recordViolation(const std::string &Text, std::uint32_t Number) {
    if (Violations.size() < 20) {
      Violations.push_back(std::to_string(toMicros(Now)) + "us " + Text + " " +
                           std::to_string(Number));
    }
  }

  std::multimap<instant, std::function<void(fleet_simulation &)>> Actions;
  std::multimap<instant, message> Network;
  std::map<std::uint64_t, const sim_request *> ById;
  std::map<upstream_id, std::uint32_t> Limits, Measured;
  instant GrantorLostAt{};
  std::size_t Next = 0;
};

} // namespace arbutus::pool::testing

#endif
