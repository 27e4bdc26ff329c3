// The part of `grantor` that counts what ended sessions and a predecessor left.
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

} // namespace

void grantor::endSession(router_session &Router, instant Now) {
  if (Router.Member.State == session_state::Ended) {
    return;
  }
  Router.Member.State = session_state::Ended;
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
    updateDemand(Router, Id, Now);
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
  if (Gathered) {
    return;
  }
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
               Entry.second.Member.State != session_state::Live;
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

void grantor::settleAssumed(instant Now) {
  if (Settled) {
    return;
  }
  Settled = std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
    return Entry.second.Reported ||
           Entry.second.Member.State == session_state::Ended;
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
    if (Router.Reported && Router.Member.State != session_state::Ended &&
        Router.LastContactAt < Load.MeasuredAt + ChangeDelay &&
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
    if (Share != Router.Upstreams.end() && Router.LastContactAt >= To) {
      Sum += Share->second.leastWithin(From, To);
    }
  }
  return Sum;
}

} // namespace arbutus::pool
