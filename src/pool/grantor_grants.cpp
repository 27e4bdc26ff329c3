// Grants and recalls slots.
#include "pool/grantor.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// The grantor keeps 1 / HeldBackDivisor of a limit while uncontended, so that
/// a router without idle slots gets one without a recall.
constexpr std::uint32_t HeldBackDivisor = 8;
/// Decay of the recent use at each distribution of the reserve. With one every
/// 100 ms the time constant is about half a second.
constexpr double RecentUseDecay = 0.8;
/// Weight of a router without recent use, in requests per distribution.
constexpr double BaseRequestsPerInterval = 0.5;
/// Weights in the selection of an upstream. A preferred upstream has the
/// prompt in its cache and skips the prefill, so preference outweighs an even
/// load.
constexpr double PreferenceWeight = 1, FreeShareWeight = 0.6,
                 DomainWeight = 0.4;

bool contains(const std::vector<std::uint32_t> &List, upstream_id Id) {
  return std::find(List.begin(), List.end(), number(Id)) != List.end();
}

} // namespace

void grantor::recallExcess() {
  for (auto &[Id, Upstream] : Upstreams) {
    if (occupied(Id) <= effectiveLimit(Upstream)) {
      continue;
    }
    for (auto &[Node, Router] : Routers) {
      const auto RouterSlots = Router.Upstreams.find(Id);
      if (!Router.Contended && RouterSlots != Router.Upstreams.end() &&
          RouterSlots->second.held() > 0 && !RouterSlots->second.Recalled) {
        RouterSlots->second.Recalled = true;
        Router.enqueueEntry(makeEntry(entry_kind::Recall, Id));
      }
    }
  }
}

void grantor::grantWaiting(instant Now) {
  const auto AnyFree = [&] {
    return std::any_of(
        Upstreams.begin(), Upstreams.end(),
        [&](const auto &Entry) { return freeSlots(Entry.second); });
  };
  while (AnyFree()) {
    std::optional<grant_target> Target;
    const auto Team = Scheduler.selectTeam([&](team_id Candidate) {
      Target = selectTarget(Candidate);
      return Target.has_value();
    });
    if (!Team) {
      return;
    }
    LastServed[*Team] = Target->Node;
    grantSlot(Routers.at(Target->Node), *Team, Target->Upstream, Now);
  }
}

void grantor::setContended(bool Value, instant Now) {
  if (Value != Contended) {
    Contended = Value;
    ContendedChangedAt = Now;
    PendingDecisions.Contended = Value;
  }
  for (auto &[Node, Router] : Routers) {
    if (!Router.Reported || Router.Contended == Value ||
        Router.Info.State == session_state::Ended) {
      continue;
    }
    Router.Contended = Value;
    Router.enqueueEntry(
        makeEntry(Value ? entry_kind::Contended : entry_kind::Uncontended));
    for (auto &[Id, RouterSlots] : Router.Upstreams) {
      RouterSlots.Recalled = false;
    }
  }
}

void grantor::distributeReserve(instant Now) {
  if (Now - LastDistribution < Options.ReserveInterval) {
    return;
  }
  LastDistribution = Now;
  updateRecentUse();
  if (Contended || !SessionsReconciled) {
    return;
  }
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Breaker.state() == breaker_state::Closed) {
      distributeUpstreamReserve(Id, Upstream);
    }
  }
}

void grantor::grantSlot(router_session &Router, team_id Team, upstream_id Id,
                        instant Now) {
  auto &TeamState = Router.Teams[Team];
  auto &PreferredUpstreams = TeamState.Usage.PreferredUpstreams;
  const auto Preferred = std::find(PreferredUpstreams.begin(),
                                   PreferredUpstreams.end(), number(Id));
  if (Preferred != PreferredUpstreams.end()) {
    PreferredUpstreams.erase(Preferred);
  }
  ++TeamState.Unacknowledged;
  ++Router.Upstreams[Id].Unacknowledged;
  ++Upstreams.at(Id).Held;
  const double Cost = TeamState.Usage.MeanEstimatedCost;
  charge(Team, Cost);
  auto Entry = makeEntry(entry_kind::Slots, Id, 1);
  Entry.Team = number(Team);
  Entry.Value = std::llround(Scheduler.virtualTime(Team) -
                             ReportedCharges[Team] / Scheduler.weight(Team));
  Router.enqueueEntry(Entry, Cost);
  updateDemand(Router, Team, Now);
  PendingDecisions.Grants.push_back(
      {grant_reason::LeastVirtualTime, Team, Id, Router.Info.Node, 1});
}

void grantor::updateRecentUse() {
  for (auto &[Node, Router] : Routers) {
    for (auto &[Id, RouterSlots] : Router.Upstreams) {
      RouterSlots.RecentUse = RouterSlots.RecentUse * RecentUseDecay +
                              static_cast<double>(RouterSlots.Usage.Dispatched -
                                                  RouterSlots.DispatchedBefore);
      RouterSlots.DispatchedBefore = RouterSlots.Usage.Dispatched;
    }
  }
}

void grantor::distributeUpstreamReserve(upstream_id Id,
                                        upstream_state &Upstream) {
  const auto Allowed = effectiveLimit(Upstream);
  const auto HeldBack = std::max(1U, Allowed / HeldBackDivisor);
  const auto Fixed = Upstream.Orphaned + Upstream.Assumed + HeldBack;
  if (Allowed <= Fixed) {
    return;
  }
  double Total = 0;
  for (auto &[Node, Router] : Routers) {
    if (Router.Reachable) {
      Total += Router.Upstreams[Id].RecentUse + BaseRequestsPerInterval;
    }
  }
  bool Lacking = false;
  for (auto &[Node, Router] : Routers) {
    if (!Router.Reachable) {
      continue;
    }
    auto &RouterSlots = Router.Upstreams[Id];
    const auto Target = static_cast<std::uint32_t>(std::llround(
        (Allowed - Fixed) * (RouterSlots.RecentUse + BaseRequestsPerInterval) /
        Total));
    const auto Free = freeSlots(Upstream);
    const auto Spare = Free > HeldBack ? Free - HeldBack : 0;
    const auto Missing =
        Target > RouterSlots.held() ? Target - RouterSlots.held() : 0;
    const auto Count = std::min(Missing, Spare);
    Lacking = Lacking || Missing > Count;
    if (Count > 0) {
      RouterSlots.Unacknowledged += Count;
      RouterSlots.Recalled = false;
      Upstream.Held += Count;
      Router.enqueueEntry(makeEntry(entry_kind::Reserve, Id, Count));
      PendingDecisions.Grants.push_back(
          {grant_reason::Reserve, std::nullopt, Id, Node, Count});
    }
  }
  for (auto &[Node, Router] : Routers) {
    auto &RouterSlots = Router.Upstreams[Id];
    const auto Target = (Allowed - Fixed) *
                        (RouterSlots.RecentUse + BaseRequestsPerInterval) /
                        Total;
    // A router with twice its share releases its idle slots, so that the
    // distribution follows the load.
    if (Lacking && Router.Reachable && !RouterSlots.Recalled &&
        RouterSlots.held() > 2 * Target + 2) {
      RouterSlots.Recalled = true;
      Router.enqueueEntry(makeEntry(entry_kind::Recall, Id));
    }
  }
}

void grantor::recordLimitChange(upstream_state &Upstream, std::uint32_t Before,
                                limit_cause Cause) {
  const auto After = Upstream.Limit.limit();
  if (After != Before) {
    PendingDecisions.LimitChanges.push_back(
        {Upstream.Config.Upstream, Before, After, Cause});
  }
}

void grantor::recordBreakerChange(const upstream_state &Upstream) {
  PendingDecisions.BreakerChanges.push_back(
      {Upstream.Config.Upstream, Upstream.Breaker.state()});
}

std::uint32_t grantor::effectiveLimit(const upstream_state &Upstream) const {
  return Upstream.Config.Usable
             ? Upstream.Breaker.effectiveLimit(Upstream.Limit.limit())
             : 0;
}

std::uint32_t grantor::freeSlots(const upstream_state &Upstream) const {
  const auto Used = Upstream.Held + Upstream.Orphaned + Upstream.Assumed;
  const auto Allowed = effectiveLimit(Upstream);
  return Allowed > Used ? Allowed - Used : 0;
}

double grantor::domainLoad(const std::string &Domain) const {
  double Used = 0, Allowed = 0;
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Config.FailureDomain == Domain) {
      Used += occupied(Id);
      Allowed += effectiveLimit(Upstream);
    }
  }
  return Allowed > 0 ? std::min(1.0, Used / Allowed) : 1;
}

std::optional<grantor::grant_target> grantor::selectTarget(team_id Team) const {
  const auto Found = Demand.find(Team);
  if (Found == Demand.end()) {
    return std::nullopt;
  }
  // Routers take turns, so that a request at a quiet router does not wait for
  // the whole queue of a busy one.
  const auto &Nodes = Found->second;
  const auto Last = LastServed.find(Team);
  auto At = Last == LastServed.end() ? Nodes.begin()
                                     : Nodes.upper_bound(Last->second);
  for (std::size_t I = 0; I < Nodes.size(); ++I, ++At) {
    if (At == Nodes.end()) {
      At = Nodes.begin();
    }
    const auto &TeamState = Routers.at(At->first).Teams.at(Team);
    if (const auto Upstream = selectUpstream(TeamState)) {
      return grant_target{At->first, *Upstream};
    }
  }
  return std::nullopt;
}

std::optional<upstream_id>
grantor::selectUpstream(const session_team &Team) const {
  std::optional<upstream_id> Best;
  double BestScore = -1;
  for (const auto &[Id, Upstream] : Upstreams) {
    const auto Free = freeSlots(Upstream);
    if (Free == 0 || contains(Team.Usage.ExcludedUpstreams, Id)) {
      continue;
    }
    const double Score =
        (contains(Team.Usage.PreferredUpstreams, Id) ? PreferenceWeight : 0) +
        FreeShareWeight * Free / effectiveLimit(Upstream) +
        DomainWeight * (1 - domainLoad(Upstream.Config.FailureDomain));
    if (Score > BestScore) {
      BestScore = Score;
      Best = Id;
    }
  }
  return Best;
}

std::vector<std::pair<node_id, pool_grant>> grantor::buildGrants(instant Now) {
  std::vector<std::pair<node_id, pool_grant>> Grants;
  for (auto &[Node, Router] : Routers) {
    if (Router.Info.State == session_state::Ended) {
      continue;
    }
    if (auto Grant = Router.buildGrantIfDue(Epoch, Options.ResendAfter,
                                            Options.AckDelay, Now)) {
      Grant->SystemVirtualTime = std::llround(Scheduler.systemVirtualTime());
      Grants.emplace_back(Node, std::move(*Grant));
    }
  }
  return Grants;
}

} // namespace arbutus::pool
