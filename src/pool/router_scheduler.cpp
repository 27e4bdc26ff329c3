#include "pool/router_scheduler.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// A preferred upstream outweighs any difference in free share.
constexpr double PreferenceWeight = 2;
/// Number of reports whose charges are recorded. Later reports repeat what is
/// not acknowledged, so the oldest may be dropped.
constexpr std::size_t MaxUnacknowledgedReports = 64;

std::uint32_t sessionOf(incarnation Incarnation) {
  return static_cast<std::uint32_t>(number(Incarnation));
}

} // namespace

router_scheduler::router_scheduler(pool_id Pool, incarnation Incarnation,
                                   router_scheduler_options Options)
    : Pool(Pool), Session(sessionOf(Incarnation)), Options(Options) {}

result<std::optional<dispatch_decision>, admission_error>
router_scheduler::enqueue(pending_request Request, instant Now) {
  auto &Team = Teams[Request.Team];
  const auto Queued = Team.Queue.size();
  if (Now >= LeaseUntil) {
    return admission_error{admission_error_code::LeaseEnded, Queued};
  }
  if (Request.Deadline <= Now) {
    return admission_error{admission_error_code::DeadlinePassed, Queued};
  }
  if (Running.count(Request.RequestId) + Waiting.count(Request.RequestId) > 0) {
    return admission_error{admission_error_code::DuplicateRequest, Queued};
  }
  if (const auto Upstream = selectIdleUpstream(Request)) {
    --Upstreams[*Upstream].Idle;
    recordDispatch(Request, *Upstream);
    return std::optional(dispatch_decision{Request.RequestId, *Upstream});
  }
  if (Queued >= Options.MaxQueuedPerTeam) {
    return admission_error{admission_error_code::TeamQueueFull, Queued};
  }
  Waiting.emplace(Request.RequestId, Request.Team);
  Deadlines.emplace(Request.Deadline, Request.RequestId);
  const auto Id = Request.Team;
  Team.Queue.push(std::move(Request));
  updateBacklog(Id, Team);
  return std::optional<dispatch_decision>();
}

bool router_scheduler::cancel(std::uint64_t RequestId) {
  const auto Found = Waiting.find(RequestId);
  if (Found == Waiting.end()) {
    return false;
  }
  const auto Id = Found->second;
  auto &Team = Teams[Id];
  const auto Request = Team.Queue.remove(RequestId);
  Deadlines.erase({Request->Deadline, RequestId});
  Waiting.erase(Found);
  updateBacklog(Id, Team);
  return true;
}

std::vector<dispatch_decision>
router_scheduler::onGrant(node_id From, const pool_grant &Grant, instant Now) {
  std::vector<dispatch_decision> Out;
  if (From != Grantor || Grant.Epoch != number(Epoch) ||
      Grant.Session != Session || Grant.AcknowledgedReport > Sequence) {
    return Out;
  }
  acknowledge(Grant.AcknowledgedReport);
  if (UnacknowledgedSince) {
    UnacknowledgedSince = Grant.AcknowledgedReport == Sequence
                              ? std::nullopt
                              : std::optional<instant>(Now);
  }
  releaseWithheld();
  SystemVirtualTime = std::max(SystemVirtualTime, Grant.SystemVirtualTime);
  auto Number = Grant.FirstEntry;
  for (const auto &Entry : Grant.Entries) {
    if (Number > LastAppliedEntry + 1) {
      break; // A grant is missing; the next one repeats its entries.
    }
    if (Number++ == LastAppliedEntry + 1) {
      ++LastAppliedEntry;
      LastAppliedAt = Now;
      applyEntry(Entry, Now, Out);
    }
  }
  if (Contended) {
    for (auto &[Id, Upstream] : Upstreams) {
      releaseIdleSlots(Upstream);
    }
  }
  dispatchToIdleSlots(Now, Out);
  return Out;
}

void router_scheduler::updateCost(std::uint64_t RequestId, double CostSoFar) {
  const auto Found = Running.find(RequestId);
  if (Found != Running.end() && CostSoFar > Found->second.Charged) {
    charge(Found->second.Team, CostSoFar - Found->second.Charged);
    Found->second.Charged = CostSoFar;
  }
}

std::vector<dispatch_decision> router_scheduler::complete(
    std::uint64_t RequestId, double TotalCost, request_outcome Outcome,
    std::optional<duration> FirstTokenTime, instant Now) {
  std::vector<dispatch_decision> Out;
  const auto Found = Running.find(RequestId);
  if (Found == Running.end()) {
    return Out;
  }
  const auto Request = Found->second;
  Running.erase(Found);
  charge(Request.Team, TotalCost - Request.Charged);
  auto &Upstream = Upstreams[Request.Upstream];
  auto &Usage = Upstream.Usage;
  switch (Outcome) {
  case request_outcome::Ok:
    ++Usage.Ok;
    break;
  case request_outcome::Overloaded:
    ++Usage.Overloaded;
    ReportRequested = true;
    break;
  case request_outcome::Failed:
  case request_outcome::ConnectFailed:
  case request_outcome::TimedOut:
    // An upstream that hangs shows only as timeouts, so they count as
    // failures.
    ++Usage.Failed;
    ReportRequested = true;
    break;
  case request_outcome::Cancelled:
    break;
  }
  if (FirstTokenTime) {
    ++Usage.FirstTokens;
    Usage.FirstTokenMillis +=
        std::max<std::int64_t>(0, toMicros(*FirstTokenTime) / 1000);
  }
  const auto HeldBefore = Upstream.Idle + Upstream.InFlight;
  --Upstream.InFlight;
  Upstream.MinInFlight = std::min(Upstream.MinInFlight, Upstream.InFlight);
  markChanged(Upstream.ChangedInReport);
  const bool Retains = !Contended && HeldBefore <= Upstream.RetainLimit &&
                       Usable.count(Request.Upstream) > 0;
  if (Retains) {
    ++Upstream.Idle;
    dispatchToIdleSlots(Now, Out);
  } else if (isGrantorUnresponsive(Now) && Usable.count(Request.Upstream) > 0) {
    ++Upstream.Withheld;
  }
  ReportRequested = ReportRequested || !Retains;
  return Out;
}

std::vector<std::uint64_t> router_scheduler::expireWaiting(instant Now) {
  std::vector<std::uint64_t> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    Expired.push_back(Deadlines.begin()->second);
    cancel(Expired.back());
  }
  return Expired;
}

void router_scheduler::setGrantor(epoch Next, node_id Node) {
  if (Next <= Epoch) {
    return;
  }
  Epoch = Next;
  Grantor = Node;
  resetReportState();
}

void router_scheduler::startSession(incarnation Incarnation) {
  Session = sessionOf(Incarnation);
  for (auto &[Id, Upstream] : Upstreams) {
    Upstream.Idle = Upstream.Withheld = 0;
  }
  for (auto &[Id, Team] : Teams) {
    // The grantor keeps the charges that the old session reported.
    Team.Charged -= Team.AcknowledgedCharge;
    Team.AcknowledgedCharge = 0;
  }
  resetReportState();
}

std::vector<dispatch_decision> router_scheduler::setLease(instant Until,
                                                          instant Now) {
  LeaseUntil = Until;
  std::vector<dispatch_decision> Out;
  dispatchToIdleSlots(Now, Out);
  return Out;
}

void router_scheduler::setUsableUpstreams(std::vector<upstream_id> List) {
  Usable = {List.begin(), List.end()};
  for (auto &[Id, Upstream] : Upstreams) {
    if (Usable.count(Id) == 0) {
      releaseIdleSlots(Upstream);
      if (Upstream.Withheld > 0) {
        Upstream.Withheld = 0;
        markChanged(Upstream.ChangedInReport);
      }
    }
  }
}

void router_scheduler::setTeamWeights(
    const std::vector<std::pair<team_id, double>> &Weights) {
  for (const auto &[Team, Weight] : Weights) {
    LocalScheduler.setWeight(Team, Weight);
  }
}

bool router_scheduler::isReportDue(instant Now) const {
  return number(Epoch) > 0 && Now >= nextReportTime();
}

instant router_scheduler::nextReportTime() const {
  const bool StreamsCosts = Contended && !Running.empty();
  auto Due = LastReport + (StreamsCosts ? Options.ContendedReportInterval
                                        : Options.ReportInterval);
  if (ReportRequested) {
    return LastReport + Options.BatchWindow;
  }
  if (LastAppliedEntry != LastReportedEntry) {
    Due = std::min(Due, LastAppliedAt + Options.AckDelay);
  }
  return std::max(Due, LastReport + Options.BatchWindow);
}

pool_report router_scheduler::buildReport(instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Usage.MinInFlight != Upstream.MinInFlight) {
      Upstream.Usage.MinInFlight = Upstream.MinInFlight;
      markChanged(Upstream.ChangedInReport);
    }
    Upstream.MinInFlight = Upstream.InFlight;
  }
  pool_report Report;
  Report.Epoch = number(Epoch);
  Report.Session = Session;
  Report.Sequence = ++Sequence;
  Report.Full = LastAcknowledgedReport == 0;
  Report.AppliedEntry = LastAppliedEntry;
  Report.SystemVirtualTime = Report.Full ? SystemVirtualTime : 0;
  for (auto &[Id, Upstream] : Upstreams) {
    if (Report.Full || Upstream.ChangedInReport > LastAcknowledgedReport) {
      Upstream.Usage.Upstream = number(Id);
      Upstream.Usage.Held =
          Upstream.Idle + Upstream.Withheld + Upstream.InFlight;
      Report.Upstreams.push_back(Upstream.Usage);
    }
    if (Report.Full && Upstream.KnownLimit.Version > 0) {
      Report.Limits.push_back(Upstream.KnownLimit);
    }
  }
  std::vector<std::pair<team_id, double>> Charges;
  for (auto &[Id, Team] : Teams) {
    if (Team.ChangedInReport > LastAcknowledgedReport ||
        (Report.Full && !Team.Queue.empty())) {
      appendTeamUsage(Id, Team, Report);
      Charges.emplace_back(Id, std::round(Team.Charged));
    }
    if (Report.Full && Team.Base > 0) {
      Report.Bases.push_back({number(Id), Team.Base});
    }
    Team.WaitingKnownToGrantor = Team.Queue.size();
  }
  if (!Charges.empty()) {
    UnacknowledgedCharges.emplace(Sequence, std::move(Charges));
  }
  if (UnacknowledgedCharges.size() > MaxUnacknowledgedReports) {
    UnacknowledgedCharges.erase(UnacknowledgedCharges.begin());
  }
  // Reports without content are not acknowledged.
  const bool NeedsAcknowledgement =
      Report.Full || !Report.Upstreams.empty() || !Report.Teams.empty();
  if (NeedsAcknowledgement && !UnacknowledgedSince) {
    UnacknowledgedSince = Now;
  }
  LastReport = Now;
  ReportRequested = false;
  LastReportedEntry = LastAppliedEntry;
  return Report;
}

std::uint32_t router_scheduler::waiting(team_id Team) const {
  const auto Found = Teams.find(Team);
  return Found == Teams.end() ? 0 : Found->second.Queue.size();
}

std::uint32_t router_scheduler::waiting() const noexcept {
  return static_cast<std::uint32_t>(Waiting.size());
}

std::uint32_t router_scheduler::inFlight() const noexcept {
  return static_cast<std::uint32_t>(Running.size());
}

std::uint32_t router_scheduler::inFlight(upstream_id Upstream) const {
  const auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? 0 : Found->second.InFlight;
}

std::uint32_t router_scheduler::idleSlots(upstream_id Upstream) const {
  const auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? 0 : Found->second.Idle;
}

void router_scheduler::charge(team_id Id, double Cost) {
  auto &Team = Teams[Id];
  Team.Charged += Cost;
  markChanged(Team.ChangedInReport);
  LocalScheduler.charge(Id, Cost);
}

void router_scheduler::updateBacklog(team_id Id, team_state &Team) {
  markChanged(Team.ChangedInReport);
  LocalScheduler.setBacklogged(Id, !Team.Queue.empty());
  // When the grantor knows of many waiting requests, one more needs no report.
  // It is reported when the queue length changed by more than a quarter.
  const auto Actual = static_cast<std::int64_t>(Team.Queue.size());
  const auto WaitingKnownToGrantor =
      static_cast<std::int64_t>(Team.WaitingKnownToGrantor);
  if (std::abs(Actual - WaitingKnownToGrantor) * 4 > WaitingKnownToGrantor) {
    ReportRequested = true;
  }
}

void router_scheduler::releaseIdleSlots(upstream_state &Upstream) {
  Upstream.RetainLimit = 0;
  if (Upstream.Idle > 0) {
    Upstream.Idle = 0;
    markChanged(Upstream.ChangedInReport);
    ReportRequested = true;
  }
}

void router_scheduler::releaseWithheld() {
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Withheld > 0) {
      Upstream.Withheld = 0;
      markChanged(Upstream.ChangedInReport);
      ReportRequested = true;
    }
  }
}

bool router_scheduler::isGrantorUnresponsive(instant Now) const {
  return Contended && UnacknowledgedSince &&
         Now - *UnacknowledgedSince > Options.GrantorTimeout;
}

void router_scheduler::applyEntry(const grant_entry &Entry, instant Now,
                                  std::vector<dispatch_decision> &Out) {
  const auto Id = static_cast<upstream_id>(Entry.Upstream);
  const auto TeamId = static_cast<team_id>(Entry.Team);
  switch (static_cast<entry_kind>(Entry.Kind)) {
  case entry_kind::Slots: {
    auto &Team = Teams[TeamId];
    Team.Base = std::max(Team.Base, Entry.Value);
    for (std::uint32_t I = 0; I < Entry.Count; ++I) {
      Team.WaitingKnownToGrantor -= std::min(Team.WaitingKnownToGrantor, 1U);
      std::optional<pending_request> Request;
      if (Now < LeaseUntil && Usable.count(Id) > 0) {
        Request = Team.Queue.popFor(Id, Now);
      }
      if (Request) {
        dispatchQueued(*Request, Id, Out);
      } else {
        // No waiting request may use the slot, so it is released with the
        // acknowledgement.
        updateBacklog(TeamId, Team);
        ReportRequested = true;
      }
    }
    break;
  }
  case entry_kind::Reserve: {
    auto &Upstream = Upstreams[Id];
    if (Usable.count(Id) == 0) {
      ReportRequested = true;
      break;
    }
    Upstream.Idle += Entry.Count;
    Upstream.RetainLimit =
        std::max(Upstream.RetainLimit, Upstream.Idle + Upstream.InFlight);
    markChanged(Upstream.ChangedInReport);
    break;
  }
  case entry_kind::Recall:
    releaseIdleSlots(Upstreams[Id]);
    break;
  case entry_kind::Contended:
    Contended = true;
    break;
  case entry_kind::Uncontended:
    Contended = false;
    for (auto &[Key, Upstream] : Upstreams) {
      Upstream.RetainLimit = Upstream.Idle + Upstream.InFlight;
    }
    break;
  case entry_kind::Limit:
    Upstreams[Id].KnownLimit = {Entry.Upstream,
                                static_cast<std::uint32_t>(Entry.Value),
                                Entry.Count, Entry.Team};
    break;
  }
}

void router_scheduler::dispatchQueued(const pending_request &Request,
                                      upstream_id Upstream,
                                      std::vector<dispatch_decision> &Out) {
  Waiting.erase(Request.RequestId);
  Deadlines.erase({Request.Deadline, Request.RequestId});
  recordDispatch(Request, Upstream);
  updateBacklog(Request.Team, Teams[Request.Team]);
  Out.push_back({Request.RequestId, Upstream});
}

void router_scheduler::recordDispatch(const pending_request &Request,
                                      upstream_id Id) {
  Running[Request.RequestId] = {Request.Team, Id, Request.EstimatedCost};
  charge(Request.Team, Request.EstimatedCost);
  auto &Upstream = Upstreams[Id];
  ++Upstream.InFlight;
  ++Upstream.Usage.Dispatched;
  markChanged(Upstream.ChangedInReport);
}

void router_scheduler::dispatchToIdleSlots(
    instant Now, std::vector<dispatch_decision> &Out) {
  std::optional<upstream_id> Upstream;
  const auto Fit = [&](team_id Id) {
    Upstream = Teams[Id].Queue.firstFit(
        [&](const auto &Request) { return selectIdleUpstream(Request); }, Now);
    return Upstream.has_value();
  };
  while (Now < LeaseUntil) {
    const auto Id = LocalScheduler.selectTeam(Fit);
    if (!Id) {
      return;
    }
    const auto Request = Teams[*Id].Queue.popFor(*Upstream, Now);
    if (!Request) {
      return;
    }
    --Upstreams[*Upstream].Idle;
    dispatchQueued(*Request, *Upstream, Out);
  }
}

void router_scheduler::resetReportState() {
  Sequence = LastAcknowledgedReport = LastAppliedEntry = LastReportedEntry = 0;
  Contended = false;
  ReportRequested = true;
  UnacknowledgedSince.reset();
  UnacknowledgedCharges.clear();
  for (auto &[Id, Upstream] : Upstreams) {
    Upstream.RetainLimit = Upstream.Idle + Upstream.InFlight;
    Upstream.Usage = {};
    Upstream.ChangedInReport = 1;
  }
  for (auto &[Id, Team] : Teams) {
    Team.WaitingKnownToGrantor = 0;
    Team.ChangedInReport = Team.Queue.empty() && Team.Charged == 0 ? 0 : 1;
  }
}

void router_scheduler::acknowledge(std::uint64_t AcknowledgedReport) {
  LastAcknowledgedReport = std::max(LastAcknowledgedReport, AcknowledgedReport);
  const auto Found = UnacknowledgedCharges.find(AcknowledgedReport);
  if (Found != UnacknowledgedCharges.end()) {
    for (const auto &[Id, Charged] : Found->second) {
      Teams[Id].AcknowledgedCharge = Charged;
    }
  }
  UnacknowledgedCharges.erase(
      UnacknowledgedCharges.begin(),
      UnacknowledgedCharges.upper_bound(AcknowledgedReport));
}

void router_scheduler::appendTeamUsage(team_id Id, const team_state &Team,
                                       pool_report &Report) const {
  team_usage Usage;
  Usage.Team = number(Id);
  Usage.Waiting = Team.Queue.size();
  Usage.Charged = std::llround(Team.Charged);
  Usage.MeanEstimatedCost = static_cast<std::uint32_t>(
      std::clamp(Team.Queue.meanEstimate(), 0.0, 1e9));
  Usage.ExcludedUpstreams = Team.Queue.commonExclusions();
  Usage.PreferredUpstreams = Team.Queue.preferred();
  Report.Teams.push_back(std::move(Usage));
}

std::optional<upstream_id>
router_scheduler::selectIdleUpstream(const pending_request &Request) const {
  std::optional<upstream_id> Best;
  double BestScore = -1;
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Idle == 0 || Usable.count(Id) == 0 || excludes(Request, Id)) {
      continue;
    }
    const auto MaxHeld =
        std::max({Upstream.Idle + Upstream.InFlight, Upstream.RetainLimit, 1U});
    const double Score = static_cast<double>(Upstream.Idle) / MaxHeld +
                         (Request.Preferred == Id ? PreferenceWeight : 0);
    if (Score > BestScore) {
      BestScore = Score;
      Best = Id;
    }
  }
  return Best;
}

} // namespace arbutus::pool
