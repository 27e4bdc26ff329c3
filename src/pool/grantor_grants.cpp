// The part of `grantor` that hands slots out and takes them back.
#include "pool/grantor.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// Part of a limit that stays with the grantor while uncontended, so that a
/// router without credits is served without a recall.
constexpr std::uint32_t HoldBackDivisor = 8;
/// Decay per spread of the recent use; about half a second of memory.
constexpr double RecentUseDecay = 0.8;
/// Share of a router without recent use, in requests per spread.
constexpr double BaseUse = 0.5;
/// Weights in the choice of upstream. A preferred upstream saves the prompt's
/// prefill, so it outweighs spreading.
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
      const auto Share = Router.Upstreams.find(Id);
      if (!Router.Contended && Share != Router.Upstreams.end() &&
          Share->second.held() > 0 && !Share->second.Recalled) {
        Share->second.Recalled = true;
        Router.push(makeEntry(entry_kind::Recall, Id));
      }
    }
  }
}

void grantor::grantWaiting(instant Now) {
  const auto AnyFree = [&] {
    return std::any_of(Upstreams.begin(), Upstreams.end(),
                       [&](const auto &Entry) { return free(Entry.second); });
  };
  while (AnyFree()) {
    std::optional<choice> Choice;
    const auto Team = Order.selectTeam([&](team_id Candidate) {
      Choice = choose(Candidate);
      return Choice.has_value();
    });
    if (!Team) {
      return;
    }
    LastServed[*Team] = Choice->Node;
    grantSlot(Routers.at(Choice->Node), *Team, Choice->Upstream, Now);
  }
}

void grantor::setContended(bool Value, instant Now) {
  if (Value != Contended) {
    Contended = Value;
    ModeSince = Now;
    Pending.Contended = Value;
  }
  for (auto &[Node, Router] : Routers) {
    if (!Router.Reported || Router.Contended == Value ||
        Router.Member.State == session_state::Ended) {
      continue;
    }
    Router.Contended = Value;
    Router.push(
        makeEntry(Value ? entry_kind::Contended : entry_kind::Uncontended));
    for (auto &[Id, Share] : Router.Upstreams) {
      Share.Recalled = false;
    }
  }
}

void grantor::spreadReserve(instant Now) {
  if (Now - LastSpread < Options.ReserveInterval) {
    return;
  }
  LastSpread = Now;
  updateRecentUse();
  if (Contended || !Settled) {
    return;
  }
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Breaker.state() == breaker_state::Closed) {
      spread(Id, Upstream);
    }
  }
}

void grantor::grantSlot(router_session &Router, team_id Team, upstream_id Id,
                        instant Now) {
  auto &Demanded = Router.Teams[Team];
  auto &Prefer = Demanded.Usage.Prefer;
  const auto Preferred = std::find(Prefer.begin(), Prefer.end(), number(Id));
  if (Preferred != Prefer.end()) {
    Prefer.erase(Preferred);
  }
  ++Demanded.OnTheWay;
  ++Router.Upstreams[Id].OnTheWay;
  ++Upstreams.at(Id).Held;
  const double Cost = Demanded.Usage.Estimate;
  charge(Team, Cost);
  auto Entry = makeEntry(entry_kind::Slots, Id, 1);
  Entry.Team = number(Team);
  Entry.Value = std::llround(Order.virtualTime(Team) -
                             Reported[Team] / Order.weight(Team));
  Router.push(Entry, Cost);
  updateDemand(Router, Team, Now);
  Pending.Grants.push_back(
      {grant_reason::LeastVirtualTime, Team, Id, Router.Member.Node, 1});
}

void grantor::updateRecentUse() {
  for (auto &[Node, Router] : Routers) {
    for (auto &[Id, Share] : Router.Upstreams) {
      Share.RecentUse =
          Share.RecentUse * RecentUseDecay +
          static_cast<double>(Share.Usage.Dispatched - Share.DispatchedBefore);
      Share.DispatchedBefore = Share.Usage.Dispatched;
    }
  }
}

void grantor::spread(upstream_id Id, upstream_state &Upstream) {
  const auto Allowed = effectiveLimit(Upstream);
  const auto HoldBack = std::max(1U, Allowed / HoldBackDivisor);
  const auto Fixed = Upstream.Left + Upstream.Assumed + HoldBack;
  if (Allowed <= Fixed) {
    return;
  }
  double Total = 0;
  for (auto &[Node, Router] : Routers) {
    if (Router.Reachable) {
      Total += Router.Upstreams[Id].RecentUse + BaseUse;
    }
  }
  bool Lacking = false;
  for (auto &[Node, Router] : Routers) {
    if (!Router.Reachable) {
      continue;
    }
    auto &Share = Router.Upstreams[Id];
    const auto Target = static_cast<std::uint32_t>(
        std::llround((Allowed - Fixed) * (Share.RecentUse + BaseUse) / Total));
    const auto Free = free(Upstream);
    const auto Spare = Free > HoldBack ? Free - HoldBack : 0;
    const auto Missing = Target > Share.held() ? Target - Share.held() : 0;
    const auto Count = std::min(Missing, Spare);
    Lacking = Lacking || Missing > Count;
    if (Count > 0) {
      Share.OnTheWay += Count;
      Share.Recalled = false;
      Upstream.Held += Count;
      Router.push(makeEntry(entry_kind::Reserve, Id, Count));
      Pending.Grants.push_back(
          {grant_reason::Reserve, std::nullopt, Id, Node, Count});
    }
  }
  for (auto &[Node, Router] : Routers) {
    auto &Share = Router.Upstreams[Id];
    const auto Target = (Allowed - Fixed) * (Share.RecentUse + BaseUse) / Total;
    // A router with twice its share gives back what it does not use, so that
    // the spread follows the load.
    if (Lacking && Router.Reachable && !Share.Recalled &&
        Share.held() > 2 * Target + 2) {
      Share.Recalled = true;
      Router.push(makeEntry(entry_kind::Recall, Id));
    }
  }
}

void grantor::noteLimit(upstream_state &Upstream, std::uint32_t Before,
                        limit_cause Cause) {
  const auto After = Upstream.Limit.limit();
  if (After != Before) {
    Pending.LimitChanges.push_back(
        {Upstream.Config.Upstream, Before, After, Cause});
  }
}

void grantor::noteBreaker(const upstream_state &Upstream) {
  Pending.BreakerChanges.push_back(
      {Upstream.Config.Upstream, Upstream.Breaker.state()});
}

std::uint32_t grantor::effectiveLimit(const upstream_state &Upstream) const {
  return Upstream.Config.Usable
             ? Upstream.Breaker.effectiveLimit(Upstream.Limit.limit())
             : 0;
}

std::uint32_t grantor::free(const upstream_state &Upstream) const {
  const auto Used = Upstream.Held + Upstream.Left + Upstream.Assumed;
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

std::optional<grantor::choice> grantor::choose(team_id Team) const {
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
    const auto &Demanded = Routers.at(At->first).Teams.at(Team);
    if (const auto Upstream = bestUpstream(Demanded)) {
      return choice{At->first, *Upstream};
    }
  }
  return std::nullopt;
}

std::optional<upstream_id>
grantor::bestUpstream(const session_team &Team) const {
  std::optional<upstream_id> Best;
  double BestScore = -1;
  for (const auto &[Id, Upstream] : Upstreams) {
    const auto Free = free(Upstream);
    if (Free == 0 || contains(Team.Usage.Avoid, Id)) {
      continue;
    }
    const double Score =
        (contains(Team.Usage.Prefer, Id) ? PreferenceWeight : 0) +
        FreeShareWeight * Free / effectiveLimit(Upstream) +
        DomainWeight * (1 - domainLoad(Upstream.Config.FailureDomain));
    if (Score > BestScore) {
      BestScore = Score;
      Best = Id;
    }
  }
  return Best;
}

std::vector<std::pair<node_id, pool_grant>> grantor::frames(instant Now) {
  std::vector<std::pair<node_id, pool_grant>> Frames;
  for (auto &[Node, Router] : Routers) {
    if (Router.Member.State == session_state::Ended) {
      continue;
    }
    if (auto Frame =
            Router.frame(Epoch, Options.ResendAfter, Options.AckDelay, Now)) {
      Frame->SystemTime = std::llround(Order.systemTime());
      Frames.emplace_back(Node, std::move(*Frame));
    }
  }
  return Frames;
}

} // namespace arbutus::pool
