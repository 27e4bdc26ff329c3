// Counts the slots that ended sessions still occupy and restores the state of
// the predecessor.
#include "pool/grantor.h"

#include <algorithm>

namespace arbutus::pool {

namespace {

/// Time in which a router's change reaches the grantor while contended: batch
/// window, message delay and jitter within a region, with a wide margin.
constexpr duration MaxReportDelay = 15ms;
/// Step between the instants at which a load may have been measured.
constexpr duration MeasureStep = 5ms;
/// Time to wait for a router's report after a load was measured. Then the
/// router counts as having no request in flight.
constexpr duration ReportTimeout = 300ms;
/// Two report intervals, in which every live session reports.
constexpr duration RecoveryTimeout = 200ms;

} // namespace

void grantor::endSession(router_session &Router, instant Now) {
  if (Router.Info.State == session_state::Ended) {
    return;
  }
  Router.Info.State = session_state::Ended;
  Router.Reachable = false;
  for (const auto &[Id, RouterSlots] : Router.Upstreams) {
    const auto Found = Upstreams.find(Id);
    if (Found != Upstreams.end() && RouterSlots.held() > 0) {
      auto &Upstream = Found->second;
      Upstream.Held -= RouterSlots.held();
      Upstream.Orphaned += RouterSlots.held();
      Upstream.OrphanedSince = Now;
      Upstream.PendingLoadReport.reset();
    }
  }
  for (const auto &[Id, Team] : Router.Teams) {
    updateDemand(Router, Id, Now);
    ReportedCharges[Id] -= static_cast<double>(Team.Usage.Charged);
  }
  for (const auto &[Entry, ProvisionalCost] : Router.entries()) {
    ReportedCharges[static_cast<team_id>(Entry.Team)] -= ProvisionalCost;
  }
  Router.Upstreams.clear();
  Router.Teams.clear();
}

void grantor::initializeSession(router_session &Router,
                                const pool_report &Report, instant Now) {
  Router.Reported = true;
  if (!SessionsReconciled) {
    importPredecessorState(Report, Now);
  }
  if (Contended) {
    Router.Contended = true;
    Router.enqueueEntry(makeEntry(entry_kind::Contended));
  }
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.KnownLimit.Version > 0) {
      auto Entry =
          makeEntry(entry_kind::Limit, Id, Upstream.KnownLimit.MaxInUse);
      Entry.Team = Upstream.KnownLimit.Version;
      Entry.Value = Upstream.KnownLimit.Limit;
      Router.enqueueEntry(Entry);
    }
  }
}

void grantor::importPredecessorState(const pool_report &Report, instant Now) {
  for (const auto &Known : Report.Limits) {
    const auto Found = Upstreams.find(static_cast<upstream_id>(Known.Upstream));
    if (Found == Upstreams.end()) {
      continue;
    }
    auto &Upstream = Found->second;
    Upstream.MaxInUse = std::max(Upstream.MaxInUse, Known.MaxInUse);
    LastLimitVersion = std::max(LastLimitVersion, Known.Version);
    if (Known.Version > Upstream.KnownLimit.Version) {
      Upstream.KnownLimit = Known;
      const auto Before = Upstream.Limit.limit();
      Upstream.Limit.resume(std::max(1U, Known.Limit), Now);
      recordLimitChange(Upstream, Before, limit_cause::Resumed);
      if (Known.Limit == 0 &&
          Upstream.Breaker.state() == breaker_state::Closed) {
        Upstream.Breaker.open(Now);
        recordBreakerChange(Upstream);
      }
    }
  }
  for (const auto &Usage : Report.Upstreams) {
    const auto Found = Upstreams.find(static_cast<upstream_id>(Usage.Upstream));
    if (Found != Upstreams.end()) {
      Found->second.InitialHeld += Usage.Held;
    }
  }
  KnownSystemVirtualTime =
      std::max(KnownSystemVirtualTime, Report.SystemVirtualTime);
  if (VirtualTimesRecovered) {
    return;
  }
  for (const auto &Known : Report.Bases) {
    const auto Team = static_cast<team_id>(Known.Team);
    auto &Base = VirtualTimeBases[Team];
    if (Known.Base > Base) {
      Scheduler.charge(Team, static_cast<double>(Known.Base - Base) *
                                 Scheduler.weight(Team));
      Base = Known.Base;
    }
  }
}

void grantor::recoverVirtualTimes(instant Now) {
  const bool AllLive =
      std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
        return Entry.second.Reported ||
               Entry.second.Info.State != session_state::Live;
      });
  if (!VirtualTimesRecovered &&
      (SessionsReconciled || AllLive || Now - Started >= RecoveryTimeout)) {
    VirtualTimesRecovered = true;
    // A team whose base no router reported gains nothing from the takeover.
    Scheduler.raiseVirtualTimes(static_cast<double>(KnownSystemVirtualTime));
    RestoringBacklog = number(Epoch) > 1;
    updateReachable(Now);
    RestoringBacklog = false;
  }
}

void grantor::reconcileAssumedSlots(instant Now) {
  if (SessionsReconciled) {
    return;
  }
  SessionsReconciled =
      std::all_of(Routers.begin(), Routers.end(), [](const auto &Entry) {
        return Entry.second.Reported ||
               Entry.second.Info.State == session_state::Ended;
      });
  for (auto &[Id, Upstream] : Upstreams) {
    const auto MaxInUse = std::max(Upstream.MaxInUse, Upstream.Limit.limit());
    Upstream.Assumed =
        MaxInUse > Upstream.InitialHeld ? MaxInUse - Upstream.InitialHeld : 0;
    if (SessionsReconciled) {
      // Requests of sessions that ended before this epoch may still run.
      Upstream.Orphaned += Upstream.Assumed;
      Upstream.Assumed = 0;
      Upstream.OrphanedSince = Now;
      Upstream.PendingLoadReport.reset();
    }
  }
}

void grantor::reconcileOrphanedSlots(upstream_state &Upstream, instant Now) {
  if (!Upstream.PendingLoadReport) {
    return;
  }
  const auto Load = *Upstream.PendingLoadReport;
  const auto Since = Load.MeasuredBy - Load.MaxAge;
  if (Upstream.Orphaned == 0 || Since < Upstream.OrphanedSince) {
    Upstream.PendingLoadReport.reset();
    return;
  }
  for (const auto &[Node, Router] : Routers) {
    if (Router.Reported && Router.Info.State != session_state::Ended &&
        Router.LastContactAt < Load.MeasuredBy + MaxReportDelay &&
        Now < Load.MeasuredBy + ReportTimeout) {
      return;
    }
  }
  const auto Id = Upstream.Config.Upstream;
  auto KnownInFlight = minInFlight(Id, Since, Load.MeasuredBy + MaxReportDelay);
  if (Contended && ContendedChangedAt <= Since) {
    // While contended, each completion is reported at once, so the counts of
    // the routers can be added for each instant at which the load may have
    // been measured. The minimum of these sums is a tighter bound.
    KnownInFlight = UINT32_MAX;
    for (auto At = Since; At <= Load.MeasuredBy; At += MeasureStep) {
      KnownInFlight =
          std::min(KnownInFlight,
                   minInFlight(Id, At, At + MeasureStep + MaxReportDelay));
    }
  }
  Upstream.Orphaned =
      std::min(Upstream.Orphaned,
               Load.Running > KnownInFlight ? Load.Running - KnownInFlight : 0);
  Upstream.PendingLoadReport.reset();
}

std::uint32_t grantor::minInFlight(upstream_id Upstream, instant From,
                                   instant To) const {
  std::uint32_t Sum = 0;
  for (const auto &[Node, Router] : Routers) {
    const auto RouterSlots = Router.Upstreams.find(Upstream);
    if (RouterSlots != Router.Upstreams.end() && Router.LastContactAt >= To) {
      Sum += RouterSlots->second.minInFlightWithin(From, To);
    }
  }
  return Sum;
}

} // namespace arbutus::pool
