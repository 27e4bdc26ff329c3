#include "balance/request_scheduler.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::balance {

namespace {

/// Averaging window of the service rates.
constexpr duration RateWindow = 500ms;
/// Number of requests of one team that are examined for one that can be sent.
constexpr std::size_t MaxQueueScan = 16;
/// Weight of the newest result in the failure rate.
constexpr double FailureRateWeight = 0.1;
/// Weight of the newest request in the share of busy upstreams.
constexpr double BusyShareWeight = 0.1;
/// Back-off after the first failed connection. It doubles with each consecutive
/// failure, up to `MaxBackoffDoublings` times.
constexpr duration InitialConnectBackoff = 500ms;
constexpr std::uint32_t MaxBackoffDoublings = 3;
/// Fraction of a cold upstream's request rate that is used. Two routers may
/// send to it for a short time while they disagree on the owner of its cell.
constexpr double ColdRateFraction = 0.6;
/// Back-off after an upstream had no capacity left.
constexpr duration OverloadBackoff = 100ms;

/// A number from 0 to 1 that differs between schedulers, so that their requests
/// to an upstream are spread over time.
double schedulerPhase(const std::string &Upstream, std::uint64_t Seed) {
  return static_cast<double>(hash64(Upstream, Seed) >> 11U) /
         static_cast<double>(std::uint64_t{1} << 53U);
}

} // namespace

request_scheduler::request_scheduler(std::uint64_t Seed) noexcept
    : Seed(Seed), TotalServedRate(RateWindow) {}

void request_scheduler::setUpstreams(const std::vector<upstream_info> &List,
                                     instant Now) {
  std::map<upstream_id, upstream_load> Next;
  for (const auto &Info : List) {
    const auto Previous = Upstreams.find(Info.Id);
    const bool SameRun = Previous != Upstreams.end() &&
                         Previous->second.Info.StartedMs == Info.StartedMs;
    auto Load = SameRun ? std::move(Previous->second) : upstream_load{};
    const bool TurnsCold =
        Info.ColdRequestsPerSecond > 0 && Load.Info.ColdRequestsPerSecond <= 0;
    Load.Info = Info;
    Load.Cache.setCapacity(Info.CacheTokens);
    const double Phase = schedulerPhase(Info.Name, Seed);
    Load.RateLimit.setShare(SchedulerCount, Phase);
    if (TurnsCold) {
      // Routers start at different phases of the interval, so that the first
      // requests of the fleet do not arrive together.
      const auto Interval = coldInterval(Load);
      Load.NextColdDispatch =
          Now + duration(std::llround(static_cast<double>(toMicros(Interval)) *
                                      Phase));
    }
    Next.emplace(Info.Id, std::move(Load));
  }
  Upstreams = std::move(Next);
}

void request_scheduler::setSchedulerCount(std::uint32_t Count) noexcept {
  SchedulerCount = std::max(1U, Count);
}

duration request_scheduler::expectedWait(team_id Team, instant Now) const {
  // The rate equals the capacity only while there is always a next request.
  if (WaitingById.empty() || Now - BackloggedSince < RateWindow) {
    return duration::zero();
  }
  const auto OwnCost = QueuedCost.find(Team);
  const double CostAhead = OwnCost == QueuedCost.end() ? 0 : OwnCost->second;
  const double Teams = static_cast<double>(
      Queues.size() + (OwnCost == QueuedCost.end() ? 1 : 0));
  // A team gets more than an even share while the other teams have little work.
  const auto TeamRate = TeamServedRates.find(Team);
  const double OwnRate =
      TeamRate == TeamServedRates.end() ? 0 : TeamRate->second.value(Now);
  const double Rate =
      std::max({OwnRate, TotalServedRate.value(Now) / Teams, 1.0});
  constexpr double MaxWaitSeconds = 3600; // if nothing is served
  return duration(
      std::llround(std::min(CostAhead / Rate, MaxWaitSeconds) * 1e6));
}

std::optional<duration>
request_scheduler::expectedResponseTime(const queued_request &Request) const {
  const bool IsModel =
      !Upstreams.empty() && Upstreams.begin()->second.Info.IsModelEngine;
  return IsModel ? PrefillTime.expected(estimateCaches(Request).MinUncached)
                 : PlainResponseTime.expected();
}

instant request_scheduler::dispatchDeadline(const queued_request &Request,
                                            instant Now) const {
  if (Request.ResponseTarget == instant::max()) {
    return Request.DispatchDeadline;
  }
  const auto Expected = expectedResponseTime(Request);
  if (!Expected) {
    return Request.DispatchDeadline;
  }
  const instant TargetDeadline = Request.ResponseTarget - *Expected;
  // A request that misses its target in any case keeps its full deadline. The
  // deadline is at least half of the full wait: without a short queue,
  // upstreams would be idle between two arrivals.
  const instant MinDeadline = Now + (Request.DispatchDeadline - Now) / 2;
  return TargetDeadline <= Now
             ? Request.DispatchDeadline
             : std::min(Request.DispatchDeadline,
                        std::max(MinDeadline, TargetDeadline));
}

void request_scheduler::recordResponseTime(const in_flight_request &Request,
                                           const upstream_load &Load,
                                           upstream_result Result,
                                           instant Now) {
  const bool HasSendTime = Request.SentAt != instant{};
  if (HasSendTime && !Load.Info.IsModelEngine &&
      Result == upstream_result::Succeeded) {
    PlainResponseTime.add(Now - Request.SentAt);
  }
}

void request_scheduler::recordBusyShare(instant Now) {
  std::size_t Usable = 0;
  std::size_t Busy = 0;
  for (const auto &[Id, Load] : Upstreams) {
    if (Load.Info.Usable) {
      ++Usable;
      Busy += isEligible(Load, Now) && hasCapacity(Load, SchedulerCount, Now)
                  ? 0
                  : 1;
    }
  }
  const double Share =
      Usable == 0 ? 1 : static_cast<double>(Busy) / static_cast<double>(Usable);
  BusyShare += (Share - BusyShare) * BusyShareWeight;
}

void request_scheduler::recordServedCost(team_id Team, double Cost,
                                         instant Now) {
  TotalServedRate.add(Cost, Now);
  TeamServedRates.try_emplace(Team, RateWindow).first->second.add(Cost, Now);
}

std::optional<upstream_id> request_scheduler::enqueue(queued_request Request,
                                                      instant Now) {
  recordBusyShare(Now);
  // A request that arrives while others wait is queued behind them, so that it
  // does not overtake a team that has received less service.
  if (WaitingById.empty()) {
    if (const auto Upstream = selectUpstream(Request, Now)) {
      send(Request, *Upstream, Now);
      return Upstream;
    }
  }
  if (WaitingById.empty()) {
    BackloggedSince = Now;
  }
  Request.DispatchDeadline = dispatchDeadline(Request, Now);
  QueuedCost[Request.Team] += Request.Cost;
  WaitingById.emplace(Request.RequestId,
                      std::pair(Request.Team, Request.DispatchDeadline));
  DispatchDeadlines.emplace(Request.DispatchDeadline, Request.RequestId);
  auto &Queue = Queues[Request.Team];
  if (Queue.empty()) {
    FairQueue.setBacklogged(Request.Team, true);
  }
  Queue.push_back(std::move(Request));
  return std::nullopt;
}

bool request_scheduler::cancel(std::uint64_t RequestId) {
  const auto Found = WaitingById.find(RequestId);
  if (Found == WaitingById.end()) {
    return false;
  }
  const auto [Team, Deadline] = Found->second;
  WaitingById.erase(Found);
  DispatchDeadlines.erase({Deadline, RequestId});
  auto &Queue = Queues[Team];
  std::erase_if(Queue, [&](const auto &Request) {
    if (Request.RequestId != RequestId) {
      return false;
    }
    QueuedCost[Request.Team] -= Request.Cost;
    return true;
  });
  if (Queue.empty()) {
    Queues.erase(Team);
    QueuedCost.erase(Team);
    FairQueue.setBacklogged(Team, false);
  }
  return true;
}

void request_scheduler::onFirstByte(std::uint64_t RequestId, instant Now) {
  const auto Found = InFlightById.find(RequestId);
  if (Found == InFlightById.end()) {
    return;
  }
  const auto Tokens = Found->second.PrefillTokens;
  clearPendingPrefill(Found->second);
  const auto Upstream = Upstreams.find(Found->second.Upstream);
  if (Upstream == Upstreams.end() || !Upstream->second.Info.IsModelEngine ||
      Found->second.SentAt == instant{}) {
    return;
  }
  Upstream->second.PrefillProgressAt = Now;
  FirstByteTime.add(Now - Found->second.SentAt);
  PrefillTime.add(Tokens, Now - Found->second.SentAt);
}

void request_scheduler::complete(std::uint64_t RequestId,
                                 upstream_result Result, instant Now) {
  const auto Found = InFlightById.find(RequestId);
  if (Found == InFlightById.end()) {
    return;
  }
  clearPendingPrefill(Found->second);
  const in_flight_request Completed = Found->second;
  InFlightById.erase(Found);
  const auto Upstream = Upstreams.find(Completed.Upstream);
  if (Upstream == Upstreams.end()) {
    return;
  }
  auto &Load = Upstream->second;
  recordResponseTime(Completed, Load, Result, Now);
  Load.InFlight -= std::min(1U, Load.InFlight);
  ++Load.CompletedSinceReport;
  if (Result == upstream_result::Unreachable) {
    const auto Doublings =
        std::min(Load.ConsecutiveConnectFailures, MaxBackoffDoublings);
    Load.BackoffUntil = Now + InitialConnectBackoff * (1U << Doublings);
    ++Load.ConsecutiveConnectFailures;
  } else if (Result == upstream_result::Overloaded) {
    Load.BackoffUntil = std::max(Load.BackoffUntil, Now + OverloadBackoff);
  } else if (Result != upstream_result::Ignored) {
    const double Failed = Result == upstream_result::Failed ? 1 : 0;
    Load.FailureRate += (Failed - Load.FailureRate) * FailureRateWeight;
    Load.ConsecutiveConnectFailures = 0;
  }
}

void request_scheduler::onLoadReport(upstream_id Upstream,
                                     const load_report &Report) {
  const auto Found = Upstreams.find(Upstream);
  if (Found == Upstreams.end() ||
      (Found->second.LastReport && Found->second.LastReport->At > Report.At)) {
    return;
  }
  Found->second.LastReport = Report;
  Found->second.SentSinceReport = 0;
  Found->second.CompletedSinceReport = 0;
}

bool request_scheduler::recordRateLimit(std::uint64_t RequestId,
                                        std::optional<double> PerSecond,
                                        instant Now) {
  const auto Request = InFlightById.find(RequestId);
  return Request != InFlightById.end() &&
         recordRateLimit(Request->second.Upstream, PerSecond,
                         Request->second.SentAt, Now);
}

bool request_scheduler::recordRateLimit(upstream_id Upstream,
                                        std::optional<double> PerSecond,
                                        instant SentAt, instant Now) {
  const auto Found = Upstreams.find(Upstream);
  return Found != Upstreams.end() &&
         Found->second.RateLimit.recordAnswer(PerSecond, SentAt, Now);
}

bool request_scheduler::mergeRateLimit(upstream_id Upstream,
                                       std::optional<double> PerSecond,
                                       instant AnsweredAt, instant Now) {
  const auto Found = Upstreams.find(Upstream);
  return Found != Upstreams.end() &&
         Found->second.RateLimit.record(PerSecond, AnsweredAt, Now);
}

std::vector<dispatch_decision> request_scheduler::dispatchReady(instant Now) {
  std::vector<dispatch_decision> Ready;
  const auto AnyCapacity = [&] {
    return std::any_of(Upstreams.begin(), Upstreams.end(),
                       [&](const auto &Entry) {
                         return isEligible(Entry.second, Now) &&
                                hasCapacity(Entry.second, SchedulerCount, Now);
                       });
  };
  while (!WaitingById.empty() && AnyCapacity()) {
    const auto Next = dispatchNext(Now);
    if (!Next) {
      break;
    }
    Ready.push_back(*Next);
  }
  return Ready;
}

std::optional<dispatch_decision>
request_scheduler::findDispatchable(team_id Team, instant Now) const {
  const auto Found = Queues.find(Team);
  if (Found == Queues.end()) {
    return std::nullopt;
  }
  const auto &Queue = Found->second;
  const std::size_t ScanCount = std::min(Queue.size(), MaxQueueScan);
  for (std::size_t I = 0; I < ScanCount; ++I) {
    if (const auto Upstream = selectUpstream(Queue[I], Now)) {
      return dispatch_decision{Queue[I].RequestId, *Upstream};
    }
  }
  if (!isFarBehind(Team, Now)) {
    return std::nullopt;
  }
  for (std::size_t I = 0; I < ScanCount; ++I) {
    if (const auto Upstream = selectFreeUpstream(Queue[I], Now)) {
      return dispatch_decision{Queue[I].RequestId, *Upstream};
    }
  }
  return std::nullopt;
}

std::optional<dispatch_decision> request_scheduler::dispatchNext(instant Now) {
  std::optional<dispatch_decision> Ready;
  const auto Team = FairQueue.selectTeam([&](team_id Candidate) {
    Ready = findDispatchable(Candidate, Now);
    return Ready.has_value();
  });
  if (!Team) {
    return std::nullopt;
  }
  auto &Queue = Queues.at(*Team);
  const auto Found =
      std::find_if(Queue.begin(), Queue.end(), [&](const auto &Request) {
        return Request.RequestId == Ready->RequestId;
      });
  const queued_request Request = std::move(*Found);
  cancel(Request.RequestId);
  send(Request, Ready->Upstream, Now);
  return Ready;
}

std::vector<expired_request> request_scheduler::expireWaiting(instant Now) {
  std::vector<expired_request> Expired;
  while (!DispatchDeadlines.empty() &&
         DispatchDeadlines.begin()->first <= Now) {
    const std::uint64_t Id = DispatchDeadlines.begin()->second;
    const auto &Queue = Queues.at(WaitingById.at(Id).first);
    const auto Request =
        std::find_if(Queue.begin(), Queue.end(), [Id](const auto &Queued) {
          return Queued.RequestId == Id;
        });
    const auto *Preferred = preferredUpstream(*Request, Now);
    Expired.push_back(
        {Id, Preferred == nullptr ? upstream_id{} : Preferred->Info.Id});
    cancel(Id);
  }
  return Expired;
}

bool request_scheduler::hasUsableUpstream() const noexcept {
  return std::any_of(Upstreams.begin(), Upstreams.end(), [](const auto &Entry) {
    return Entry.second.Info.Usable;
  });
}

const upstream_load *request_scheduler::find(upstream_id Upstream) const {
  const auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

void request_scheduler::send(const queued_request &Request,
                             upstream_id Upstream, instant Now) {
  auto &Load = Upstreams.at(Upstream);
  const auto Uncached = Load.Cache.uncachedTokens(Request.Prompt);
  Load.Cache.recordUse(Request.Prompt);
  ++Load.InFlight;
  ++Load.SentSinceReport;
  if (Load.PrefillTokens == 0) {
    Load.PrefillProgressAt = Now;
  }
  Load.PrefillTokens += Uncached;
  if (Load.Info.ColdRequestsPerSecond > 0) {
    Load.NextColdDispatch = Now + coldInterval(Load);
  }
  Load.RateLimit.recordSend(Now);
  InFlightById[Request.RequestId] = {Upstream, Uncached, Now};
  FairQueue.charge(Request.Team, Request.Cost);
  recordServedCost(Request.Team, Request.Cost, Now);
}

void request_scheduler::restoreInFlight(std::uint64_t RequestId,
                                        upstream_id Upstream) {
  const auto Found = Upstreams.find(Upstream);
  if (Found != Upstreams.end() &&
      InFlightById.emplace(RequestId, in_flight_request{Upstream}).second) {
    ++Found->second.InFlight;
  }
}

void request_scheduler::clearPendingPrefill(in_flight_request &Request) {
  const auto Found = Upstreams.find(Request.Upstream);
  if (Found != Upstreams.end()) {
    auto &Tokens = Found->second.PrefillTokens;
    Tokens -= std::min(Tokens, Request.PrefillTokens);
  }
  Request.PrefillTokens = 0;
}

duration request_scheduler::coldInterval(const upstream_load &Load) const {
  const double Seconds =
      SchedulerCount /
      std::max(ColdRateFraction * Load.Info.ColdRequestsPerSecond, 0.01);
  return duration(std::llround(Seconds * 1e6));
}

} // namespace arbutus::balance
