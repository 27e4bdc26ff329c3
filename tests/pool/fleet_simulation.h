#ifndef ARBUTUS_TESTS_POOL_FLEET_SIMULATION_H
#define ARBUTUS_TESTS_POOL_FLEET_SIMULATION_H

#include "fleet_sim.h"

namespace arbutus::pool::testing {

/// Routers, grantor, network, sessions and upstreams in virtual time.
class fleet_simulation {
public:
  struct sim_upstream {
    /// Reported with the load; larger after a restart that the engine shows.
    std::uint64_t Incarnation = 1;
    /// Set while the upstream bears only what slow start from here gives.
    std::optional<instant> ColdSince;
    bool Failing = false;
    bool Usable = true;
  };
  struct sim_router {
    std::unique_ptr<router_scheduler> Account;
    std::uint64_t Incarnation = 1;
    bool Up = true, Connected = true;
    session_state Session = session_state::Live;
    instant Lost, Lease;
    /// Ids of waiting requests, in order of arrival.
    std::set<std::uint64_t> Waiting;
  };

  fleet_simulation(const sim_options &Options, std::vector<sim_request> Input)
      : Options(Options), Input(std::move(Input)), Naive(Options),
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

  /// Runs `Action` at this time of the session.
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
  /// Rejoins; under a new incarnation if its session has ended.
  void rejoin(std::uint32_t R) {
    auto &Router = Routers[R];
    Router.Connected = true;
    if (Router.Session == session_state::Ended) {
      Router.Account->startSession(
          static_cast<incarnation>(++Router.Incarnation));
    }
    Router.Session = session_state::Live;
    Router.Account->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
    renewLease(R);
    tellMembers();
  }
  void kill(std::uint32_t R) {
    cutOff(R);
    Routers[R].Up = false;
    Floor.abandon(R, Now);
  }
  void restart(std::uint32_t R) {
    ++Routers[R].Incarnation;
    startRouter(R);
    tellMembers();
  }
  void loseGrantor() {
    Grantor.reset();
    GrantorLostAt = Now;
  }
  /// The upstream restarts: its requests fail and it is cold. A silent one
  /// keeps its incarnation, so that only its first-token times tell.
  void turnCold(std::uint32_t U, bool Silent) {
    auto &Upstream = Upstreams[static_cast<upstream_id>(U)];
    Upstream.Incarnation += Silent ? 0 : 1;
    Upstream.ColdSince = Now;
  }
  void setUsable(std::uint32_t U, bool Usable) {
    Upstreams[static_cast<upstream_id>(U)].Usable = Usable;
    for (auto &Router : Routers) {
      Router.Account->setUsableUpstreams(usable());
    }
    if (Grantor) {
      Grantor->setUpstreams(configs(), Now);
    }
  }

  /// Requests that the upstream bears at this time.
  [[nodiscard]] double bearable(upstream_id Id) const {
    const auto &Upstream = Upstreams.at(Id);
    return Upstream.ColdSince
               ? std::min<double>(Options.MaxLimit,
                                  Options.FirstLimit +
                                      Options.Growth *
                                          toSeconds(Now - *Upstream.ColdSince))
               : Options.MaxLimit;
  }

  sim_options Options;
  std::vector<sim_request> Input;
  reference_simulation Naive;
  simulated_service Floor;
  fairness_gap_tracker Gap;
  idle_tracker Idle;
  instant Now{};
  std::map<upstream_id, sim_upstream> Upstreams;
  std::vector<sim_router> Routers;
  std::unique_ptr<grantor> Grantor;
  std::uint64_t Epoch = 0;
  node_id GrantorNode{};
  std::mt19937_64 Random;
  std::uint64_t Frames = 0, Dispatched = 0, DispatchedImmediately = 0;
  std::uint64_t ReportBytes = 0, GrantBytes = 0, Granted = 0;
  /// Broken invariants, as text with the time; empty in a correct run.
  std::vector<std::string> Faults;
  /// Time after a coldness without notice until it must have been seen.
  duration ColdNotice = 3s;
  std::map<team_id, instant> LastService;
  duration LongestStarved{};
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
    sessions();
    if (!Grantor && Now - GrantorLostAt >= 1s) {
      startGrantor();
    }
    while (!Network.empty() && Network.begin()->first <= Now) {
      const auto Message = std::move(Network.begin()->second);
      Network.erase(Network.begin());
      receive(Message);
    }
    for (const auto &Done : Floor.finish(Now)) {
      auto &Router = Routers[Done.Router];
      if (!Router.Up) {
        continue;
      }
      const bool Cold = Upstreams[Done.Upstream].ColdSince &&
                        Now - *Upstreams[Done.Upstream].ColdSince < 10s;
      dispatchAll(
          Done.Router,
          Router.Account->complete(
              Done.Request->Id,
              Done.Outcome == request_outcome::Ok ? Done.Request->Cost : 0,
              Done.Outcome, Cold ? 900ms : 100ms, Now));
    }
    arrivals();
    loadReports();
    for (std::uint32_t R = 0; R < Routers.size(); ++R) {
      auto &Account = *Routers[R].Account;
      if (Routers[R].Up && Account.isReportDue(Now)) {
        const auto Payload = encode(Account.buildReport(Now));
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
    Idle.sample(Limits, Floor.Used, Floor.Started, waiting(), Oldest, Now);
    Floor.Started.clear();
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
    const auto Held = occupiedTruly();
    for (const auto &Record : Result.Decisions.Grants) {
      Granted += Record.Count;
      const auto Id = Record.Upstream;
      if (Grantor->occupied(Id) > Grantor->effectiveLimit(Id)) {
        fault("granted beyond the limit on", number(Id));
      }
      const auto Found = Held.find(Id);
      if (Found != Held.end() && Found->second > Grantor->occupied(Id)) {
        fault("more in use than the grantor counts on", number(Id));
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
      const auto Result = Routers[R].Account->enqueue(Pending, Now);
      if (Result.has_error()) {
        fault("rejected at", R);
      } else if (Result.value()) {
        ++DispatchedImmediately;
        dispatchAll(R, {*Result.value()});
      } else {
        Routers[R].Waiting.insert(Request.Id);
      }
    }
    Naive.step(Now, naiveLimits(), Arrived);
  }

  /// The naive scheduler has the slots that the fleet can use at this time:
  /// it starts nothing while there is no grantor, and slots that an ended
  /// session may occupy are in use.
  std::map<upstream_id, std::uint32_t> naiveLimits() {
    auto Usable = Limits;
    for (auto &[Id, Limit] : Usable) {
      Limit -= std::min(Limit, Grantor ? Grantor->unaccounted(Id) : Limit);
    }
    return Usable;
  }

  void dispatchAll(std::uint32_t R,
                   const std::vector<dispatch_decision> &List) {
    for (const auto &[Id, Upstream] : List) {
      const auto &Request = *ById.at(Id);
      const auto &State = Upstreams[Upstream];
      if (!Routers[R].Up || Now >= Routers[R].Lease) {
        fault("dispatched without a lease by", R);
      }
      if (!State.Usable) {
        fault("dispatched to an unusable upstream", number(Upstream));
      }
      ++Dispatched;
      Routers[R].Waiting.erase(Id);
      LastService[Request.Team] = Now;
      const auto Running = Floor.Used[Upstream];
      const bool Over = Running + 1 > bearable(Upstream);
      const bool Noticed =
          !State.ColdSince || Now - *State.ColdSince > ColdNotice;
      if (Over && Noticed) {
        fault("more than it bears on", number(Upstream));
      }
      if (State.Failing) {
        Floor.start(Request, Upstream, R, Now, 10ms, request_outcome::Failed);
      } else if (Over) {
        Floor.start(Request, Upstream, R, Now, 20ms,
                    request_outcome::Overloaded);
      } else {
        Floor.start(Request, Upstream, R, Now, Request.Time,
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
      Measured[Id] = Floor.Used[Id];
    }
  }

  void sample() {
    for (const auto &[Id, Request] : Floor.Running) {
      Routers[Request.Router].Account->updateCost(
          Id, simulated_service::streamed(Request, Now));
    }
    std::set<team_id> Backlogged;
    for (std::size_t T = 1; T <= Options.Teams.size(); ++T) {
      const auto Team = static_cast<team_id>(T);
      std::uint32_t Count = 0;
      for (const auto &Router : Routers) {
        Count +=
            Router.Up && Router.Connected ? Router.Account->waiting(Team) : 0;
      }
      if (Count > 0) {
        Backlogged.insert(Team);
        const auto Last = LastService.try_emplace(Team, Now).first->second;
        LongestStarved = std::max(LongestStarved, Now - Last);
      } else {
        LastService[Team] = Now;
      }
    }
    Gap.sample(Floor.served(Options.Teams, Now), Backlogged, Now);
    Naive.sample(Now);
  }

  std::uint64_t waiting() const {
    std::uint64_t Count = 0;
    for (const auto &Router : Routers) {
      Count += Router.Up && Router.Connected ? Router.Account->waiting() : 0;
    }
    return Count;
  }

  /// Requests in service, with idle credits that can still be used.
  std::map<upstream_id, std::uint32_t> occupiedTruly() const {
    auto Held = Floor.Used;
    for (const auto &Router : Routers) {
      for (const auto &[Id, Upstream] : Upstreams) {
        Held[Id] +=
            Router.Up && Now < Router.Lease ? Router.Account->idleSlots(Id) : 0;
      }
    }
    return Held;
  }

  void sessions() {
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
      tellMembers();
    }
  }

  void tellMembers() {
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
    router_scheduler_options Account;
    Account.MaxQueuedPerTeam = 100000;
    Router.Account = std::make_unique<router_scheduler>(
        pool_id{1}, static_cast<incarnation>(Router.Incarnation), Account);
    Router.Up = Router.Connected = true;
    Router.Session = session_state::Live;
    Router.Account->setUsableUpstreams(usable());
    Router.Account->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
    renewLease(R);
  }

  void renewLease(std::uint32_t R) {
    Routers[R].Lease = Now + 2800ms;
    dispatchAll(R, Routers[R].Account->setLease(Routers[R].Lease, Now));
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
    tellMembers();
    // Before any report it takes the whole capacity for occupied.
    (void)Grantor->run(Now);
    for (auto &Router : Routers) {
      Router.Account->setTeamWeights(Weights);
      if (Router.Connected) {
        Router.Account->setGrantor(static_cast<epoch>(Epoch), GrantorNode);
      }
    }
  }

  std::vector<upstream_config> configs() const {
    std::vector<upstream_config> List;
    for (const auto &[Id, Upstream] : Upstreams) {
      List.push_back({Id, Options.MaxLimit, Options.FirstLimit, Options.Growth,
                      Upstream.Usable, std::to_string(number(Id) % 3)});
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
    ++Frames;
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
                  Router.Account->onGrant(
                      static_cast<node_id>(1000 + Message.Epoch),
                      decode<pool_grant>(Message.Payload).value(), Now));
    }
  }

  void fault(const std::string &Text, std::uint32_t Number) {
    if (Faults.size() < 20) {
      Faults.push_back(std::to_string(toMicros(Now)) + "us " + Text + " " +
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
