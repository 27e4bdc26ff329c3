#include "pool/grantor.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Time in which a router's change reaches the grantor while contended: batch
/// window, message delay and jitter within a region, with a wide margin.
constexpr duration ChangeDelay = 15ms;
/// Step between the instants at which a load report may have been measured.
constexpr duration MeasureStep = 5ms;
/// Time to wait for reports made after a measurement before a router counts
/// with nothing in flight.
constexpr duration HeardTimeout = 300ms;
/// Two report intervals: a live session has reported by then.
constexpr duration GatherTime = 200ms;
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
    const limit_options Limit{Config.Ceiling, Config.FirstLimit, Config.Growth};
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

void grantor::setTeams(const std::vector<std::pair<team_id, double>> &Weights) {
  for (const auto &[Team, Weight] : Weights) {
    Order.setWeight(Team, Weight);
  }
}

void grantor::setMembers(const std::vector<member> &List, instant Now) {
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
    if (!New && Entry.Incarnation < Router.Member.Incarnation) {
      continue;
    }
    if (!New && Entry.Incarnation > Router.Member.Incarnation) {
      endSession(Router, Now);
      Router = router_session(Entry, Now);
    }
    if (Entry.State == member_state::Ended) {
      endSession(Router, Now);
    } else if (Router.Member.State != member_state::Ended) {
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
  if (Router.Member.State == member_state::Ended ||
      Report.Sequence <= Router.Sequence ||
      (!Router.Reported && !Report.Full)) {
    return;
  }
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
  Router.LastHeard = Now;
  acknowledge(Router, Report.AppliedEntry);
  for (const auto &Usage : Report.Upstreams) {
    applyUsage(Router, Usage, Now);
  }
  for (const auto &Usage : Report.Teams) {
    applyTeam(Router, Usage, Now);
  }
  if (Report.Full || !Report.Upstreams.empty() || !Report.Teams.empty()) {
    Router.AckOwedSince = Router.AckOwedSince.value_or(Now);
  }
}

void grantor::onLoadReport(upstream_id Id, const load_report &Report,
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
  if (Order.anyBacklogged()) {
    LastWaited = Now;
    grantWaiting(Now);
  }
  if (Order.anyBacklogged()) {
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

std::uint32_t grantor::allowed(upstream_id Id) const {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? 0 : allowed(Found->second);
}

double grantor::virtualTime(team_id Team) const {
  return Order.virtualTime(Team);
}

void grantor::endSession(router_session &Router, instant Now) {
  if (Router.Member.State == member_state::Ended) {
    return;
  }
  Router.Member.State = member_state::Ended;
  Router.Reachable = false;
  for (const auto &[Id, Share] : Router.Upstreams) {
    const auto Found = Upstreams.find(Id);
    if (Found != Upstreams.end() && Share.held() > 0) {
      auto &Upstream = Found->second;
      Upstream.Held -= Share.held();
      Upstream.Left += Share.held();
      Upstream.LeftSince = Now;
      Upstream.Load.reset();
    }
  }
  for (const auto &[Id, Team] : Router.Teams) {
    updateDemand(Router, Id, 0, Now);
    Reported[Id] -= static_cast<double>(Team.Usage.Charged);
  }
  for (const auto &[Entry, Provisional] : Router.entries()) {
    Reported[static_cast<team_id>(Entry.Team)] -= Provisional;
  }
  Router.Upstreams.clear();
  Router.Teams.clear();
}

void grantor::welcome(router_session &Router, const pool_report &Report,
                      instant Now) {
  Router.Reported = true;
  if (!Settled) {
    takeOver(Report, Now);
  }
  if (Contended) {
    Router.Contended = true;
    Router.push(makeEntry(entry_kind::Contended));
  }
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Known.Notice > 0) {
      auto Entry = makeEntry(entry_kind::Limit, Id, Upstream.Known.Most);
      Entry.Team = Upstream.Known.Notice;
      Entry.Value = Upstream.Known.Limit;
      Router.push(Entry);
    }
  }
}

void grantor::takeOver(const pool_report &Report, instant Now) {
  for (const auto &Known : Report.Limits) {
    const auto Found = Upstreams.find(static_cast<upstream_id>(Known.Upstream));
    if (Found == Upstreams.end()) {
      continue;
    }
    auto &Upstream = Found->second;
    Upstream.MostInUse = std::max(Upstream.MostInUse, Known.Most);
    LastNotice = std::max(LastNotice, Known.Notice);
    if (Known.Notice > Upstream.Known.Notice) {
      Upstream.Known = Known;
      const auto Before = Upstream.Limit.limit();
      Upstream.Limit.resume(std::max(1U, Known.Limit), Now);
      noteLimit(Upstream, Before, limit_cause::Resumed);
      if (Known.Limit == 0 &&
          Upstream.Breaker.state() == breaker_state::Closed) {
        Upstream.Breaker.open(Now);
        noteBreaker(Upstream);
      }
    }
  }
  for (const auto &Usage : Report.Upstreams) {
    const auto Found = Upstreams.find(static_cast<upstream_id>(Usage.Upstream));
    if (Found != Upstreams.end()) {
      Found->second.FirstHeld += Usage.Held;
    }
  }
  KnownSystemTime = std::max(KnownSystemTime, Report.SystemTime);
  for (const auto &Known : Report.Bases) {
    const auto Team = static_cast<team_id>(Known.Team);
    auto &Base = Bases[Team];
    if (Known.Base > Base) {
      Order.charge(Team,
                   static_cast<double>(Known.Base - Base) * Order.weight(Team));
      Base = Known.Base;
    }
  }
}

void grantor::gather(instant Now) {
  const bool AllLive =
      std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
        return Entry.second.Reported ||
               Entry.second.Member.State != member_state::Live;
      });
  if (!Gathered && (Settled || AllLive || Now - Started >= GatherTime)) {
    Gathered = true;
    // A team that nobody has a copy of gains no credit from the takeover.
    Order.raiseAll(static_cast<double>(KnownSystemTime));
    Restoring = number(Epoch) > 1;
    updateReachable(Now);
    Restoring = false;
  }
}

void grantor::charge(team_id Team, double Cost) {
  Reported[Team] += Cost;
  Order.charge(Team, Cost);
}

void grantor::settleAssumed(instant Now) {
  if (Settled) {
    return;
  }
  Settled = std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
    return Entry.second.Reported ||
           Entry.second.Member.State == member_state::Ended;
  });
  for (auto &[Id, Upstream] : Upstreams) {
    const auto Most = std::max(Upstream.MostInUse, Upstream.Limit.limit());
    Upstream.Assumed =
        Most > Upstream.FirstHeld ? Most - Upstream.FirstHeld : 0;
    if (Settled) {
      // Sessions that ended before this epoch may have left requests running.
      Upstream.Left += Upstream.Assumed;
      Upstream.Assumed = 0;
      Upstream.LeftSince = Now;
      Upstream.Load.reset();
    }
  }
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
  if (Upstream.Limit.onFirstTokens(
          After.FirstTokens - Before.FirstTokens,
          After.FirstTokenMillis - Before.FirstTokenMillis, Now)) {
    noteLimit(Upstream, Limit, limit_cause::Cold);
  } else if (After.Overloaded > Before.Overloaded) {
    Upstream.Limit.onOverload(Now);
    noteLimit(Upstream, Limit, limit_cause::Overload);
  }
  if (!Upstream.Breaker.record(After.Ok - Before.Ok,
                               After.Failed - Before.Failed, Now)) {
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
                        instant Now) {
  const auto Id = static_cast<team_id>(Usage.Team);
  auto &Team = Router.Teams[Id];
  charge(Id, static_cast<double>(Usage.Charged - Team.Usage.Charged));
  Team.Usage = Usage;
  updateDemand(Router, Id, Router.Reachable ? Team.demand() : 0, Now);
}

void grantor::updateDemand(const router_session &Router, team_id Team,
                           std::uint32_t Count, instant Now) {
  auto &Nodes = Demand[Team];
  if (Count == 0) {
    Nodes.erase(Router.Member.Node);
  } else {
    Nodes[Router.Member.Node] = Count;
  }
  if (!Nodes.empty() && !Order.anyBacklogged() &&
      Now - LastWaited >= Options.BusyPeriodGap) {
    Order.equalize();
  }
  Order.setBacklogged(Team, !Nodes.empty(), !Restoring);
  if (Nodes.empty()) {
    Demand.erase(Team);
  }
}

void grantor::updateReachable(instant Now) {
  for (auto &[Node, Router] : Routers) {
    const bool Reachable = Gathered && Router.Reported &&
                           Router.Member.State == member_state::Live &&
                           Now - Router.LastHeard < Options.RouterSilence;
    if (Reachable == Router.Reachable) {
      continue;
    }
    Router.Reachable = Reachable;
    for (const auto &[Id, Team] : Router.Teams) {
      updateDemand(Router, Id, Reachable ? Team.demand() : 0, Now);
    }
  }
}

void grantor::settleLeft(upstream_state &Upstream, instant Now) {
  if (!Upstream.Load) {
    return;
  }
  const auto Load = *Upstream.Load;
  const auto Since = Load.MeasuredAt - Load.Lag;
  if (Upstream.Left == 0 || Since < Upstream.LeftSince) {
    Upstream.Load.reset();
    return;
  }
  for (const auto &[Node, Router] : Routers) {
    if (Router.Reported && Router.Member.State != member_state::Ended &&
        Router.LastHeard < Load.MeasuredAt + ChangeDelay &&
        Now < Load.MeasuredAt + HeardTimeout) {
      return;
    }
  }
  const auto Id = Upstream.Config.Upstream;
  auto Known = leastInFlight(Id, Since, Load.MeasuredAt + ChangeDelay);
  if (Contended && ModeSince <= Since) {
    // Each end is reported at once, so the counts of different routers can be
    // added for each instant at which the load may have been measured.
    Known = UINT32_MAX;
    for (auto At = Since; At <= Load.MeasuredAt; At += MeasureStep) {
      Known = std::min(Known,
                       leastInFlight(Id, At, At + MeasureStep + ChangeDelay));
    }
  }
  Upstream.Left =
      std::min(Upstream.Left, Load.Running > Known ? Load.Running - Known : 0);
  Upstream.Load.reset();
}

std::uint32_t grantor::leastInFlight(upstream_id Upstream, instant From,
                                     instant To) const {
  std::uint32_t Sum = 0;
  for (const auto &[Node, Router] : Routers) {
    const auto Share = Router.Upstreams.find(Upstream);
    if (Share != Router.Upstreams.end() && Router.LastHeard >= To) {
      Sum += Share->second.leastWithin(From, To);
    }
  }
  return Sum;
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
    const bool Rose = Limit > Known.Limit &&
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
      if (Router.Reported && Router.Member.State != member_state::Ended) {
        Router.push(Entry);
      }
    }
  }
}

} // namespace arbutus::pool
