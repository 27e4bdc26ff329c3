#include "pool/grantor.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Samples older than any load report's lag are dropped.
constexpr duration SampleAge = 10s;
/// Growth is slow, so limits need no step in every run.
constexpr duration AdvanceInterval = 20ms;

} // namespace

grantor::grantor(pool_id Pool, epoch Epoch, grantor_options Options,
                 instant Now)
    : Pool(Pool), Epoch(Epoch), Options(Options), Started(Now),
      // The first grantor of a pool has no predecessor that granted slots.
      Settled(number(Epoch) <= 1), LastWaited(Now), LastSpread(Now),
      LastAdvance(Now) {}

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
      Upstream.Limit.onCold(Now);
      noteLimit(Upstream, Before, limit_cause::Returned);
    }
  }
}

void grantor::setTeamWeights(
    const std::vector<std::pair<team_id, double>> &Weights) {
  for (const auto &[Team, Weight] : Weights) {
    Order.setWeight(Team, Weight);
  }
}

void grantor::setRouterSessions(const std::vector<session_info> &List,
                                instant Now) {
  MembersKnown = true;
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
    Router.Early = New ? !Gathered : Router.Early;
    if (!New && Entry.Incarnation < Router.Member.Incarnation) {
      continue;
    }
    if (!New && Entry.Incarnation > Router.Member.Incarnation) {
      endSession(Router, Now);
      Router = router_session(Entry, Now);
    }
    if (Entry.State == session_state::Ended) {
      endSession(Router, Now);
    } else if (Router.Member.State != session_state::Ended) {
      Router.Member.State = Entry.State;
    }
  }
}

void grantor::onReport(node_id Node, incarnation Incarnation,
                       const pool_report &Report, instant Now) {
  const auto Found = Routers.find(Node);
  if (Found == Routers.end() || Report.Epoch != number(Epoch) ||
      Found->second.Member.Incarnation != Incarnation ||
      Report.Session != static_cast<std::uint32_t>(number(Incarnation))) {
    return;
  }
  auto &Router = Found->second;
  if (Router.Member.State == session_state::Ended ||
      Report.Sequence <= Router.Sequence ||
      (!Router.Reported && !Report.Full)) {
    return;
  }
  // What a session charged before the takeover is not charged again when it
  // reports late: its teams have been raised to the system time meanwhile.
  const bool Charges = Router.Reported || !Gathered || !Router.Early;
  if (!Router.Reported) {
    welcome(Router, Report, Now);
  }
  if (Report.Sequence != Router.Sequence + 1) {
    // The missing report may have told of a lower count.
    for (auto &[Id, Share] : Router.Upstreams) {
      Share.Samples.push_back({Now, 0});
    }
  }
  Router.Sequence = Report.Sequence;
  Router.LastContactAt = Now;
  acknowledge(Router, Report.AppliedEntry);
  for (const auto &Usage : Report.Upstreams) {
    applyUsage(Router, Usage, Now);
  }
  for (const auto &Usage : Report.Teams) {
    applyTeam(Router, Usage, Charges, Now);
  }
  if (Report.Full || !Report.Upstreams.empty() || !Report.Teams.empty()) {
    Router.AckOwedSince = Router.AckOwedSince.value_or(Now);
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
  noteLimit(Upstream, Before,
            Restarted ? limit_cause::Restarted : limit_cause::Overload);
  Upstream.Running = Report.Running;
  if (!Upstream.Load) {
    Upstream.Load = Report;
  }
}

run_result grantor::run(instant Now) {
  if (!MembersKnown) {
    return {};
  }
  settleAssumed(Now);
  gather(Now);
  updateReachable(Now);
  for (auto &[Id, Upstream] : Upstreams) {
    settleLeft(Upstream, Now);
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
  } else if (Contended && Now - LastWaited >= Options.CalmBeforeReserve) {
    setContended(false, Now);
  }
  recallExcess();
  spreadReserve(Now);
  if (Settled) {
    noticeLimits(Now);
  }
  run_result Result{frames(Now), std::move(Pending)};
  Pending = {};
  return Result;
}

std::uint32_t grantor::occupied(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end()
             ? 0
             : Found->second.Held + Found->second.Left + Found->second.Assumed;
}

std::uint32_t grantor::unaccounted(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? 0
                                  : Found->second.Left + Found->second.Assumed;
}

std::uint32_t grantor::effectiveLimit(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? 0 : effectiveLimit(Found->second);
}

double grantor::virtualTime(team_id Team) const {
  return Order.virtualTime(Team);
}

void grantor::charge(team_id Team, double Cost) {
  Reported[Team] += Cost;
  Order.charge(Team, Cost);
}

void grantor::acknowledge(router_session &Router, std::uint64_t Applied) {
  for (const auto &[Entry, Provisional] : Router.acknowledge(Applied)) {
    const auto Kind = static_cast<entry_kind>(Entry.Kind);
    const auto Id = static_cast<upstream_id>(Entry.Upstream);
    const auto Team = static_cast<team_id>(Entry.Team);
    if (Kind == entry_kind::Slots || Kind == entry_kind::Reserve) {
      Router.Upstreams[Id].OnTheWay -= Entry.Count;
      Upstreams.at(Id).Held -= Entry.Count;
    }
    if (Kind == entry_kind::Slots) {
      auto &Demanded = Router.Teams[Team];
      Demanded.OnTheWay -= Entry.Count;
      Demanded.Usage.Waiting -= std::min(Demanded.Usage.Waiting, Entry.Count);
      charge(Team, -Provisional);
    }
  }
}

void grantor::applyUsage(router_session &Router, const upstream_usage &Usage,
                         instant Now) {
  const auto Id = static_cast<upstream_id>(Usage.Upstream);
  auto &Share = Router.Upstreams[Id];
  const auto Found = Upstreams.find(Id);
  if (Found != Upstreams.end()) {
    Found->second.Held += Usage.Held - Share.Usage.Held;
    countOutcomes(Found->second, Share.Usage, Usage, Now);
  }
  Share.Usage = Usage;
  Share.Samples.push_back({Now, Usage.LeastInFlight});
  while (Share.Samples.size() > 1 && Now - Share.Samples[1].At > SampleAge) {
    Share.Samples.pop_front();
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
    noteLimit(Upstream, Limit, limit_cause::Cold);
  } else if (After.Overloaded > Before.Overloaded) {
    Upstream.Limit.onOverload(Now);
    noteLimit(Upstream, Limit, limit_cause::Overload);
  }
  // An upstream that refuses at once has free slots all the time and would
  // draw every request, so refusals count as failures.
  const auto Failed =
      After.Failed - Before.Failed + After.Overloaded - Before.Overloaded;
  if (!Upstream.Breaker.recordOutcomes(After.Ok - Before.Ok, Failed, Now)) {
    return;
  }
  noteBreaker(Upstream);
  if (State == breaker_state::HalfOpen &&
      Upstream.Breaker.state() == breaker_state::Closed) {
    Upstream.Limit.onCold(Now);
    noteLimit(Upstream, Limit, limit_cause::Returned);
  }
}

void grantor::applyTeam(router_session &Router, const team_usage &Usage,
                        bool Charges, instant Now) {
  const auto Id = static_cast<team_id>(Usage.Team);
  auto &Team = Router.Teams[Id];
  const auto Cost = static_cast<double>(Usage.Charged - Team.Usage.Charged);
  Reported[Id] += Cost;
  Order.charge(Id, Charges ? Cost : 0);
  Team.Usage = Usage;
  updateDemand(Router, Id, Now);
}

void grantor::updateDemand(const router_session &Router, team_id Id,
                           instant Now) {
  const auto &Team = Router.Teams.at(Id);
  const auto Node = Router.Member.Node;
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
  if (!Nodes.empty() && !Order.anyBacklogged() &&
      Now - LastWaited >= Options.BusyPeriodGap) {
    Order.equalize();
  }
  Order.setBacklogged(Id, !Nodes.empty(), !Restoring);
  if (Nodes.empty()) {
    Backlog.erase(Id);
  }
}

void grantor::updateReachable(instant Now) {
  for (auto &[Node, Router] : Routers) {
    const bool Reachable = Gathered && Router.Reported &&
                           Router.Member.State == session_state::Live &&
                           Now - Router.LastContactAt < Options.RouterSilence;
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
    noteLimit(Upstream, Before, limit_cause::Growth);
    if (Upstream.Breaker.advance(Now)) {
      noteBreaker(Upstream);
    }
  }
}

void grantor::noticeLimits(instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    const bool Closed = Upstream.Breaker.state() == breaker_state::Closed;
    const auto Limit = Closed ? Upstream.Limit.limit() : 0;
    auto &Known = Upstream.Known;
    const bool Fell = Limit < Known.Limit;
    const bool Rose = Limit * 4 >= Known.Limit * 5 && Limit > Known.Limit &&
                      Now - Upstream.NoticedAt >= Options.LimitNoticeInterval;
    if (!Fell && !Rose && Known.Notice > 0) {
      continue;
    }
    const auto Most = std::max(Limit, occupied(Id));
    Known = {number(Id), Limit, Most, ++LastNotice};
    Upstream.NoticedAt = Now;
    auto Entry = makeEntry(entry_kind::Limit, Id, Most);
    Entry.Team = Known.Notice;
    Entry.Value = Limit;
    for (auto &[Node, Router] : Routers) {
      if (Router.Reported && Router.Member.State != session_state::Ended) {
        Router.push(Entry);
      }
    }
  }
}

} // namespace arbutus::pool
