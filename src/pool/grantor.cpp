#include "pool/grantor.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Samples are dropped at this age, which exceeds that of any load report.
constexpr duration MaxSampleAge = 10s;
/// Limits grow slowly, so not every run advances them.
constexpr duration AdvanceInterval = 20ms;

} // namespace

grantor::grantor(pool_id Pool, epoch Epoch, grantor_options Options,
                 instant Now)
    : Pool(Pool), Epoch(Epoch), Options(Options), Started(Now),
      // The first grantor of a pool has no predecessor that granted slots.
      SessionsReconciled(number(Epoch) <= 1), LastWaited(Now),
      LastDistribution(Now), LastAdvance(Now) {}

void grantor::setUpstreams(const std::vector<upstream_config> &List,
                           instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    Upstream.Config.Usable =
        Upstream.Config.Usable &&
        std::any_of(List.begin(), List.end(), [Key = Id](const auto &Config) {
          return Config.Upstream == Key;
        });
  }
  for (const auto &Config : List) {
    const limit_options Limit{Config.MaxLimit, Config.FirstLimit,
                              Config.GrowthPerSecond, Config.WarmRequests};
    const auto Found = Upstreams.find(Config.Upstream);
    if (Found == Upstreams.end()) {
      upstream_state State{Config, upstream_limit(Limit, Now),
                           circuit_breaker(Options.Breaker)};
      Upstreams.emplace(Config.Upstream, std::move(State));
      continue;
    }
    auto &Upstream = Found->second;
    const auto Before = Upstream.Limit.limit();
    const bool Returned = Config.Usable && !Upstream.Config.Usable;
    Upstream.Config = Config;
    Upstream.Limit.setOptions(Limit);
    if (Returned) {
      Upstream.Limit.restartSlowStart(Now);
      recordLimitChange(Upstream, Before, limit_cause::Returned);
    }
  }
}

void grantor::setTeamWeights(
    const std::vector<std::pair<team_id, double>> &Weights) {
  for (const auto &[Team, Weight] : Weights) {
    Scheduler.setWeight(Team, Weight);
  }
}

void grantor::setRouterSessions(const std::vector<session_info> &List,
                                instant Now) {
  SessionsKnown = true;
  for (auto &[Node, Router] : Routers) {
    const bool Listed =
        std::any_of(List.begin(), List.end(), [Key = Node](const auto &Entry) {
          return Entry.Node == Key;
        });
    if (!Listed) {
      endSession(Router, Now);
    }
  }
  for (const auto &Entry : List) {
    const auto [Found, New] =
        Routers.try_emplace(Entry.Node, router_session(Entry, Now));
    auto &Router = Found->second;
    Router.PredatesRecovery =
        New ? !VirtualTimesRecovered : Router.PredatesRecovery;
    if (!New && Entry.Incarnation < Router.Info.Incarnation) {
      continue;
    }
    if (!New && Entry.Incarnation > Router.Info.Incarnation) {
      endSession(Router, Now);
      Router = router_session(Entry, Now);
    }
    if (Entry.State == session_state::Ended) {
      endSession(Router, Now);
    } else if (Router.Info.State != session_state::Ended) {
      Router.Info.State = Entry.State;
    }
  }
}

void grantor::onReport(node_id Node, incarnation Incarnation,
                       const pool_report &Report, instant Now) {
  const auto Found = Routers.find(Node);
  if (Found == Routers.end() || Report.Epoch != number(Epoch) ||
      Found->second.Info.Incarnation != Incarnation ||
      Report.Session != static_cast<std::uint32_t>(number(Incarnation))) {
    return;
  }
  auto &Router = Found->second;
  if (Router.Info.State == session_state::Ended ||
      Report.Sequence <= Router.Sequence ||
      (!Router.Reported && !Report.Full)) {
    return;
  }
  // If a session reports after the virtual times were recovered, its earlier
  // charges are not added: its teams are at the system virtual time already.
  const bool ApplyCharges =
      Router.Reported || !VirtualTimesRecovered || !Router.PredatesRecovery;
  if (!Router.Reported) {
    initializeSession(Router, Report, Now);
  }
  if (Report.Sequence != Router.Sequence + 1) {
    // The missing report may have had a lower count.
    for (auto &[Id, RouterSlots] : Router.Upstreams) {
      RouterSlots.Samples.push_back({Now, 0});
    }
  }
  Router.Sequence = Report.Sequence;
  Router.LastContactAt = Now;
  acknowledge(Router, Report.AppliedEntry);
  for (const auto &Usage : Report.Upstreams) {
    applyUsage(Router, Usage, Now);
  }
  for (const auto &Usage : Report.Teams) {
    applyTeam(Router, Usage, ApplyCharges, Now);
  }
  if (Report.Full || !Report.Upstreams.empty() || !Report.Teams.empty()) {
    Router.AckPendingSince = Router.AckPendingSince.value_or(Now);
  }
}

void grantor::onLoadReport(upstream_id Id, const upstream_load_report &Report,
                           instant Now) {
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end()) {
    return;
  }
  auto &Upstream = Found->second;
  const auto Before = Upstream.Limit.limit();
  const bool Restarted = Upstream.Limit.onLoad(Report, Now);
  recordLimitChange(Upstream, Before,
                    Restarted ? limit_cause::Restarted : limit_cause::Overload);
  Upstream.Running = Report.Running;
  if (!Upstream.PendingLoadReport) {
    Upstream.PendingLoadReport = Report;
  }
}

run_result grantor::run(instant Now) {
  if (!SessionsKnown) {
    return {};
  }
  reconcileAssumedSlots(Now);
  recoverVirtualTimes(Now);
  updateReachable(Now);
  for (auto &[Id, Upstream] : Upstreams) {
    reconcileOrphanedSlots(Upstream, Now);
  }
  if (Now - LastAdvance >= AdvanceInterval) {
    LastAdvance = Now;
    advanceLimits(Now);
  }
  if (!Demand.empty()) {
    LastWaited = Now;
    grantWaiting(Now);
  }
  if (!Demand.empty()) {
    setContended(true, Now);
  } else if (Contended && Now - LastWaited >= Options.UncontendedDelay) {
    setContended(false, Now);
  }
  recallExcess();
  distributeReserve(Now);
  if (SessionsReconciled) {
    announceLimits(Now);
  }
  run_result Result{buildGrants(Now), std::move(PendingDecisions)};
  PendingDecisions = {};
  return Result;
}

std::uint32_t grantor::occupied(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end()
             ? 0
             : Found->second.Held + Found->second.Orphaned +
                   Found->second.Assumed;
}

std::uint32_t grantor::unconfirmedSlots(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end()
             ? 0
             : Found->second.Orphaned + Found->second.Assumed;
}

std::uint32_t grantor::effectiveLimit(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? 0 : effectiveLimit(Found->second);
}

double grantor::virtualTime(team_id Team) const {
  return Scheduler.virtualTime(Team);
}

void grantor::charge(team_id Team, double Cost) {
  ReportedCharges[Team] += Cost;
  Scheduler.charge(Team, Cost);
}

void grantor::acknowledge(router_session &Router, std::uint64_t Applied) {
  for (const auto &[Entry, ProvisionalCost] : Router.acknowledge(Applied)) {
    const auto Kind = static_cast<entry_kind>(Entry.Kind);
    const auto Id = static_cast<upstream_id>(Entry.Upstream);
    const auto Team = static_cast<team_id>(Entry.Team);
    if (Kind == entry_kind::Slots || Kind == entry_kind::Reserve) {
      Router.Upstreams[Id].Unacknowledged -= Entry.Count;
      Upstreams.at(Id).Held -= Entry.Count;
    }
    if (Kind == entry_kind::Slots) {
      auto &TeamState = Router.Teams[Team];
      TeamState.Unacknowledged -= Entry.Count;
      TeamState.Usage.Waiting -= std::min(TeamState.Usage.Waiting, Entry.Count);
      charge(Team, -ProvisionalCost);
    }
  }
}

void grantor::applyUsage(router_session &Router, const upstream_usage &Usage,
                         instant Now) {
  const auto Id = static_cast<upstream_id>(Usage.Upstream);
  auto &RouterSlots = Router.Upstreams[Id];
  const auto Found = Upstreams.find(Id);
  if (Found != Upstreams.end()) {
    Found->second.Held += Usage.Held - RouterSlots.Usage.Held;
    countOutcomes(Found->second, RouterSlots.Usage, Usage, Now);
  }
  RouterSlots.Usage = Usage;
  RouterSlots.Samples.push_back({Now, Usage.MinInFlight});
  while (RouterSlots.Samples.size() > 1 &&
         Now - RouterSlots.Samples[1].At > MaxSampleAge) {
    RouterSlots.Samples.pop_front();
  }
}

void grantor::countOutcomes(upstream_state &Upstream,
                            const upstream_usage &Before,
                            const upstream_usage &After, instant Now) {
  const auto Limit = Upstream.Limit.limit();
  const auto State = Upstream.Breaker.state();
  Upstream.Limit.onCompleted(After.Ok - Before.Ok);
  if (Upstream.Limit.onFirstTokens(
          After.FirstTokens - Before.FirstTokens,
          After.FirstTokenMillis - Before.FirstTokenMillis, Now)) {
    recordLimitChange(Upstream, Limit, limit_cause::Cold);
  } else if (After.Overloaded > Before.Overloaded) {
    Upstream.Limit.onOverload(Now);
    recordLimitChange(Upstream, Limit, limit_cause::Overload);
  }
  // An upstream that rejects requests at once always has free slots and would
  // attract every request, so rejections count as failures.
  const auto Failed =
      After.Failed - Before.Failed + After.Overloaded - Before.Overloaded;
  if (!Upstream.Breaker.recordOutcomes(After.Ok - Before.Ok, Failed, Now)) {
    return;
  }
  recordBreakerChange(Upstream);
  if (State == breaker_state::HalfOpen &&
      Upstream.Breaker.state() == breaker_state::Closed) {
    Upstream.Limit.restartSlowStart(Now);
    recordLimitChange(Upstream, Limit, limit_cause::Returned);
  }
}

void grantor::applyTeam(router_session &Router, const team_usage &Usage,
                        bool ApplyCharges, instant Now) {
  const auto Id = static_cast<team_id>(Usage.Team);
  auto &Team = Router.Teams[Id];
  const auto Cost = static_cast<double>(Usage.Charged - Team.Usage.Charged);
  ReportedCharges[Id] += Cost;
  Scheduler.charge(Id, ApplyCharges ? Cost : 0);
  Team.Usage = Usage;
  updateDemand(Router, Id, Now);
}

void grantor::updateDemand(const router_session &Router, team_id Id,
                           instant Now) {
  const auto &Team = Router.Teams.at(Id);
  const auto Node = Router.Info.Node;
  const auto Count = Router.Reachable ? Team.demand() : 0;
  if (Count > 0) {
    Demand[Id][Node] = Count;
  } else if (const auto Found = Demand.find(Id); Found != Demand.end()) {
    Found->second.erase(Node);
    if (Found->second.empty()) {
      Demand.erase(Found);
    }
  }
  auto &Nodes = Backlog[Id];
  if (Router.Reachable && Team.Usage.Waiting > 0) {
    Nodes.insert(Node);
  } else {
    Nodes.erase(Node);
  }
  if (!Nodes.empty() && !Scheduler.anyBacklogged() &&
      Now - LastWaited >= Options.BusyPeriodGap) {
    Scheduler.startBusyPeriod();
  }
  Scheduler.setBacklogged(Id, !Nodes.empty(), !RestoringBacklog);
  if (Nodes.empty()) {
    Backlog.erase(Id);
  }
}

void grantor::updateReachable(instant Now) {
  for (auto &[Node, Router] : Routers) {
    const bool Reachable = VirtualTimesRecovered && Router.Reported &&
                           Router.Info.State == session_state::Live &&
                           Now - Router.LastContactAt < Options.RouterTimeout;
    if (Reachable == Router.Reachable) {
      continue;
    }
    Router.Reachable = Reachable;
    for (const auto &[Id, Team] : Router.Teams) {
      updateDemand(Router, Id, Now);
    }
  }
}

void grantor::advanceLimits(instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    const auto Before = Upstream.Limit.limit();
    Upstream.Limit.advance(Contended ? Upstream.Held : Upstream.Running, Now);
    recordLimitChange(Upstream, Before, limit_cause::Growth);
    if (Upstream.Breaker.advance(Now)) {
      recordBreakerChange(Upstream);
    }
  }
}

void grantor::announceLimits(instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    const bool Closed = Upstream.Breaker.state() == breaker_state::Closed;
    const auto Limit = Closed ? Upstream.Limit.limit() : 0;
    auto &Known = Upstream.KnownLimit;
    const bool Fell = Limit < Known.Limit;
    const bool Rose =
        Limit * 4 >= Known.Limit * 5 && Limit > Known.Limit &&
        Now - Upstream.AnnouncedAt >= Options.LimitAnnounceInterval;
    if (!Fell && !Rose && Known.Version > 0) {
      continue;
    }
    const auto MaxInUse = std::max(Limit, occupied(Id));
    Known = {number(Id), Limit, MaxInUse, ++LastLimitVersion};
    Upstream.AnnouncedAt = Now;
    auto Entry = makeEntry(entry_kind::Limit, Id, MaxInUse);
    Entry.Team = Known.Version;
    Entry.Value = Limit;
    for (auto &[Node, Router] : Routers) {
      if (Router.Reported && Router.Info.State != session_state::Ended) {
        Router.enqueueEntry(Entry);
      }
    }
  }
}

} // namespace arbutus::pool
