#include "pool/router_scheduler.h"

#include <algorithm>
#include <cmath>

namespace arbutus::pool {

namespace {

/// A preferred upstream outweighs any difference in free share.
constexpr double PreferenceWeight = 2;
/// Reports whose charges are remembered; each later one repeats what an earlier
/// one told without an answer, so old ones may be forgotten.
constexpr std::size_t MostUnseen = 64;

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
  if (const auto Upstream = bestIdle(Request)) {
    --Upstreams[*Upstream].Idle;
    run(Request, *Upstream);
    return std::optional(dispatch_decision{Request.RequestId, *Upstream});
  }
  if (Queued >= Options.MaxQueuedPerTeam) {
    return admission_error{admission_error_code::TeamQueueFull, Queued};
  }
  Waiting.emplace(Request.RequestId, Request.Team);
  Deadlines.emplace(Request.Deadline, Request.RequestId);
  const auto Id = Request.Team;
  Team.Queue.push(std::move(Request));
  noteBacklog(Id, Team);
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
  noteBacklog(Id, Team);
  return true;
}

std::vector<dispatch_decision>
router_scheduler::onGrant(node_id From, const pool_grant &Grant, instant Now) {
  std::vector<dispatch_decision> Out;
  if (From != Grantor || Grant.Epoch != number(Epoch) ||
      Grant.Session != Session || Grant.ReportSeen > Sequence) {
    return Out;
  }
  acknowledge(Grant.ReportSeen);
  if (UnansweredSince) {
    UnansweredSince = Grant.ReportSeen == Sequence
                          ? std::nullopt
                          : std::optional<instant>(Now);
  }
  returnParked();
  SystemTime = std::max(SystemTime, Grant.SystemTime);
  auto Number = Grant.First;
  for (const auto &Entry : Grant.Entries) {
    if (Number > Applied + 1) {
      break; // A frame before this one is missing; the next one repeats it.
    }
    if (Number++ == Applied + 1) {
      ++Applied;
      AppliedAt = Now;
      apply(Entry, Now, Out);
    }
  }
  if (Contended) {
    for (auto &[Id, Upstream] : Upstreams) {
      returnIdle(Upstream);
    }
  }
  useIdle(Now, Out);
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
    Urgent = true;
    break;
  case request_outcome::Failed:
  case request_outcome::ConnectFailed:
  case request_outcome::TimedOut:
    // A hanging upstream shows only as timeouts, so they count as failures.
    ++Usage.Failed;
    Urgent = true;
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
  Upstream.Low = std::min(Upstream.Low, Upstream.InFlight);
  touch(Upstream.ChangedAt);
  const bool Keeps = !Contended && HeldBefore <= Upstream.Keep &&
                     Usable.count(Request.Upstream) > 0;
  if (Keeps) {
    ++Upstream.Idle;
    useIdle(Now, Out);
  } else if (grantorSilent(Now) && Usable.count(Request.Upstream) > 0) {
    ++Upstream.Parked;
  }
  Urgent = Urgent || !Keeps;
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
  reset();
}

void router_scheduler::startSession(incarnation Incarnation) {
  Session = sessionOf(Incarnation);
  for (auto &[Id, Upstream] : Upstreams) {
    Upstream.Idle = Upstream.Parked = 0;
  }
  for (auto &[Id, Team] : Teams) {
    // The grantor keeps what the old session reported.
    Team.Charged -= Team.SeenCharged;
    Team.SeenCharged = 0;
  }
  reset();
}

std::vector<dispatch_decision> router_scheduler::setLease(instant Until,
                                                          instant Now) {
  LeaseUntil = Until;
  std::vector<dispatch_decision> Out;
  useIdle(Now, Out);
  return Out;
}

void router_scheduler::setUsableUpstreams(std::vector<upstream_id> List) {
  Usable = {List.begin(), List.end()};
  for (auto &[Id, Upstream] : Upstreams) {
    if (Usable.count(Id) == 0) {
      returnIdle(Upstream);
      if (Upstream.Parked > 0) {
        Upstream.Parked = 0;
        touch(Upstream.ChangedAt);
      }
    }
  }
}

void router_scheduler::setTeamWeights(
    const std::vector<std::pair<team_id, double>> &Weights) {
  for (const auto &[Team, Weight] : Weights) {
    LocalOrder.setWeight(Team, Weight);
  }
}

bool router_scheduler::isReportDue(instant Now) const {
  return number(Epoch) > 0 && Now >= nextReportTime();
}

instant router_scheduler::nextReportTime() const {
  const bool Streams = Contended && !Running.empty();
  auto Due = LastReport +
             (Streams ? Options.ContendedInterval : Options.ReportInterval);
  if (Urgent) {
    return LastReport + Options.BatchWindow;
  }
  if (Applied != AppliedReported) {
    Due = std::min(Due, AppliedAt + Options.AckDelay);
  }
  return std::max(Due, LastReport + Options.BatchWindow);
}

pool_report router_scheduler::buildReport(instant Now) {
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Usage.LeastInFlight != Upstream.Low) {
      Upstream.Usage.LeastInFlight = Upstream.Low;
      touch(Upstream.ChangedAt);
    }
    Upstream.Low = Upstream.InFlight;
  }
  pool_report Report;
  Report.Epoch = number(Epoch);
  Report.Session = Session;
  Report.Sequence = ++Sequence;
  Report.Full = Acknowledged == 0;
  Report.AppliedEntry = Applied;
  Report.SystemTime = Report.Full ? SystemTime : 0;
  for (auto &[Id, Upstream] : Upstreams) {
    if (Report.Full || Upstream.ChangedAt > Acknowledged) {
      Upstream.Usage.Upstream = number(Id);
      Upstream.Usage.Held = Upstream.Idle + Upstream.Parked + Upstream.InFlight;
      Report.Upstreams.push_back(Upstream.Usage);
    }
    if (Report.Full && Upstream.Known.Notice > 0) {
      Report.Limits.push_back(Upstream.Known);
    }
  }
  std::vector<std::pair<team_id, double>> Charges;
  for (auto &[Id, Team] : Teams) {
    if (Team.ChangedAt > Acknowledged || (Report.Full && !Team.Queue.empty())) {
      listTeam(Id, Team, Report);
      Charges.emplace_back(Id, std::round(Team.Charged));
    }
    if (Report.Full && Team.Base > 0) {
      Report.Bases.push_back({number(Id), Team.Base});
    }
    Team.Believed = Team.Queue.size();
  }
  if (!Charges.empty()) {
    Unseen.emplace(Sequence, std::move(Charges));
  }
  if (Unseen.size() > MostUnseen) {
    Unseen.erase(Unseen.begin());
  }
  // Reports without content are not acknowledged.
  const bool Owed =
      Report.Full || !Report.Upstreams.empty() || !Report.Teams.empty();
  if (Owed && !UnansweredSince) {
    UnansweredSince = Now;
  }
  LastReport = Now;
  Urgent = false;
  AppliedReported = Applied;
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
  touch(Team.ChangedAt);
  LocalOrder.charge(Id, Cost);
}

void router_scheduler::noteBacklog(team_id Id, team_state &Team) {
  touch(Team.ChangedAt);
  LocalOrder.setBacklogged(Id, !Team.Queue.empty());
  // A team that is known to wait with many requests needs no report for each
  // further one; a quarter keeps the grantor's picture close enough.
  const auto Actual = static_cast<std::int64_t>(Team.Queue.size());
  const auto Believed = static_cast<std::int64_t>(Team.Believed);
  if (std::abs(Actual - Believed) * 4 > Believed) {
    Urgent = true;
  }
}

void router_scheduler::returnIdle(upstream_state &Upstream) {
  Upstream.Keep = 0;
  if (Upstream.Idle > 0) {
    Upstream.Idle = 0;
    touch(Upstream.ChangedAt);
    Urgent = true;
  }
}

void router_scheduler::returnParked() {
  for (auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Parked > 0) {
      Upstream.Parked = 0;
      touch(Upstream.ChangedAt);
      Urgent = true;
    }
  }
}

bool router_scheduler::grantorSilent(instant Now) const {
  return Contended && UnansweredSince &&
         Now - *UnansweredSince > Options.GrantorSilence;
}

void router_scheduler::apply(const grant_entry &Entry, instant Now,
                             std::vector<dispatch_decision> &Out) {
  const auto Id = static_cast<upstream_id>(Entry.Upstream);
  const auto TeamId = static_cast<team_id>(Entry.Team);
  switch (static_cast<entry_kind>(Entry.Kind)) {
  case entry_kind::Slots: {
    auto &Team = Teams[TeamId];
    Team.Base = std::max(Team.Base, Entry.Value);
    for (std::uint32_t I = 0; I < Entry.Count; ++I) {
      Team.Believed -= std::min(Team.Believed, 1U);
      std::optional<pending_request> Request;
      if (Now < LeaseUntil && Usable.count(Id) > 0) {
        Request = Team.Queue.take(Id, Now);
      }
      if (Request) {
        start(*Request, Id, Out);
      } else {
        // Nobody fits: the slot goes back with the acknowledgement.
        noteBacklog(TeamId, Team);
        Urgent = true;
      }
    }
    break;
  }
  case entry_kind::Reserve: {
    auto &Upstream = Upstreams[Id];
    if (Usable.count(Id) == 0) {
      Urgent = true;
      break;
    }
    Upstream.Idle += Entry.Count;
    Upstream.Keep = std::max(Upstream.Keep, Upstream.Idle + Upstream.InFlight);
    touch(Upstream.ChangedAt);
    break;
  }
  case entry_kind::Recall:
    returnIdle(Upstreams[Id]);
    break;
  case entry_kind::Contended:
    Contended = true;
    break;
  case entry_kind::Uncontended:
    Contended = false;
    for (auto &[Key, Upstream] : Upstreams) {
      Upstream.Keep = Upstream.Idle + Upstream.InFlight;
    }
    break;
  case entry_kind::Limit:
    Upstreams[Id].Known = {Entry.Upstream,
                           static_cast<std::uint32_t>(Entry.Value), Entry.Count,
                           Entry.Team};
    break;
  }
}

void router_scheduler::start(const pending_request &Request,
                             upstream_id Upstream,
                             std::vector<dispatch_decision> &Out) {
  Waiting.erase(Request.RequestId);
  Deadlines.erase({Request.Deadline, Request.RequestId});
  run(Request, Upstream);
  noteBacklog(Request.Team, Teams[Request.Team]);
  Out.push_back({Request.RequestId, Upstream});
}

void router_scheduler::run(const pending_request &Request, upstream_id Id) {
  Running[Request.RequestId] = {Request.Team, Id, Request.EstimatedCost};
  charge(Request.Team, Request.EstimatedCost);
  auto &Upstream = Upstreams[Id];
  ++Upstream.InFlight;
  ++Upstream.Usage.Dispatched;
  touch(Upstream.ChangedAt);
}

void router_scheduler::useIdle(instant Now,
                               std::vector<dispatch_decision> &Out) {
  std::optional<upstream_id> Upstream;
  const auto Fit = [&](team_id Id) {
    Upstream = Teams[Id].Queue.firstFit(
        [&](const auto &Request) { return bestIdle(Request); }, Now);
    return Upstream.has_value();
  };
  while (Now < LeaseUntil) {
    const auto Id = LocalOrder.selectTeam(Fit);
    if (!Id) {
      return;
    }
    const auto Request = Teams[*Id].Queue.take(*Upstream, Now);
    if (!Request) {
      return;
    }
    --Upstreams[*Upstream].Idle;
    start(*Request, *Upstream, Out);
  }
}

void router_scheduler::reset() {
  Sequence = Acknowledged = Applied = AppliedReported = 0;
  Contended = false;
  Urgent = true;
  UnansweredSince.reset();
  Unseen.clear();
  for (auto &[Id, Upstream] : Upstreams) {
    Upstream.Keep = Upstream.Idle + Upstream.InFlight;
    Upstream.Usage = {};
    Upstream.ChangedAt = 1;
  }
  for (auto &[Id, Team] : Teams) {
    Team.Believed = 0;
    Team.ChangedAt = Team.Queue.empty() && Team.Charged == 0 ? 0 : 1;
  }
}

void router_scheduler::acknowledge(std::uint64_t ReportSeen) {
  Acknowledged = std::max(Acknowledged, ReportSeen);
  const auto Found = Unseen.find(ReportSeen);
  if (Found != Unseen.end()) {
    for (const auto &[Id, Charged] : Found->second) {
      Teams[Id].SeenCharged = Charged;
    }
  }
  Unseen.erase(Unseen.begin(), Unseen.upper_bound(ReportSeen));
}

void router_scheduler::listTeam(team_id Id, const team_state &Team,
                                pool_report &Report) const {
  team_usage Usage;
  Usage.Team = number(Id);
  Usage.Waiting = Team.Queue.size();
  Usage.Charged = std::llround(Team.Charged);
  Usage.Estimate = static_cast<std::uint32_t>(
      std::clamp(Team.Queue.meanEstimate(), 0.0, 1e9));
  Usage.Avoid = Team.Queue.avoided();
  Usage.Prefer = Team.Queue.preferred();
  Report.Teams.push_back(std::move(Usage));
}

std::optional<upstream_id>
router_scheduler::bestIdle(const pending_request &Request) const {
  std::optional<upstream_id> Best;
  double BestScore = -1;
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.Idle == 0 || Usable.count(Id) == 0 || excludes(Request, Id)) {
      continue;
    }
    const auto Most =
        std::max({Upstream.Idle + Upstream.InFlight, Upstream.Keep, 1U});
    const double Score = static_cast<double>(Upstream.Idle) / Most +
                         (Request.Preferred == Id ? PreferenceWeight : 0);
    if (Score > BestScore) {
      BestScore = Score;
      Best = Id;
    }
  }
  return Best;
}

} // namespace arbutus::pool
