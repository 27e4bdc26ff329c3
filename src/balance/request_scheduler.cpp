#include "balance/request_scheduler.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::balance {

namespace {

/// Time over which the served rate is averaged.
constexpr duration RateWindow = 500ms;
/// Requests of a team that are looked at when the first cannot be sent.
constexpr std::size_t MostLookedAt = 16;
/// Cost of one running request when engines are compared, in prompt tokens: it
/// slows the steps of the others a little.
constexpr double RunningCostTokens = 100;
/// Cost of reading a shared prompt again that another engine keeps, per token
/// and beside the reading itself. It uses capacity that all callers share, so
/// a request rather waits for the engine that has it, up to a few chunks.
constexpr double RereadCost = 2;
/// Load of an engine whose requests all fail, in prompt tokens.
constexpr double FailureCostTokens = 20'000;
/// Load of a plain upstream whose requests all fail, in requests.
constexpr double FailureCostRequests = 12;
/// Failure rate of a plain upstream from which on a request rather waits for a
/// better one that is full. Below it, failures are those of the requests.
constexpr double TolerableFailureRate = 0.35;
/// Share of the newest result in the failure rate.
constexpr double FailureWeight = 0.1;
/// Time without requests after the first failed connection; it doubles with
/// each further one.
constexpr duration FirstAvoidance = 500ms;
constexpr std::uint32_t MostDoublings = 3;
/// Part of a cold upstream's rate that one pool uses. Two pools may send to it
/// for a moment, while routers do not agree on who owns its cell.
constexpr double ColdShare = 0.6;
/// Time without requests after an upstream had no room.
constexpr duration RefusalPause = 100ms;

/// Varies the order among upstreams of equal load.
std::uint64_t rankOf(const queued_request &Request, const std::string &Name,
                     std::uint64_t Seed) {
  return hash64(Name, Request.RequestId + Seed);
}

} // namespace

request_scheduler::request_scheduler(std::uint64_t Seed) noexcept
    : Seed(Seed), Served(RateWindow) {}

void request_scheduler::setUpstreams(const std::vector<upstream_info> &List,
                                     instant Now) {
  std::map<upstream_id, upstream_load> Next;
  for (const auto &Facts : List) {
    const auto Known = Upstreams.find(Facts.Id);
    const bool Same = Known != Upstreams.end() &&
                      Known->second.Facts.StartedMs == Facts.StartedMs;
    auto Load = Same ? std::move(Known->second) : upstream_load{};
    const bool TurnsCold = Facts.ColdRequestsPerSecond > 0 &&
                           Load.Facts.ColdRequestsPerSecond <= 0;
    Load.Facts = Facts;
    Load.Cache.setCapacity(Facts.CacheTokens);
    if (TurnsCold) {
      // Each router begins at its own moment, so that the first requests of
      // the fleet do not arrive together.
      const auto Interval = coldInterval(Load);
      const double Phase =
          static_cast<double>(hash64(Facts.Name, Seed) >> 11U) /
          static_cast<double>(std::uint64_t{1} << 53U);
      Load.NextCold =
          Now + duration(std::llround(static_cast<double>(toMicros(Interval)) *
                                      Phase));
    }
    Next.emplace(Facts.Id, std::move(Load));
  }
  Upstreams = std::move(Next);
}

void request_scheduler::setSchedulerCount(std::uint32_t Count) noexcept {
  Sharers = std::max(1U, Count);
}

duration request_scheduler::expectedWait(team_id Team, instant Now) const {
  // The rate says what can be served only while there is always a next request.
  if (Waiting.empty() || Now - BackloggedSince < RateWindow) {
    return duration::zero();
  }
  const auto Own = QueuedCost.find(Team);
  const double Ahead = Own == QueuedCost.end() ? 0 : Own->second;
  const double Teams =
      static_cast<double>(Queues.size() + (Own == QueuedCost.end() ? 1 : 0));
  // Other teams with little to do leave more than an even share.
  const auto Lately = ServedOf.find(Team);
  const double OwnRate =
      Lately == ServedOf.end() ? 0 : Lately->second.value(Now);
  const double Rate = std::max({OwnRate, Served.value(Now) / Teams, 1.0});
  constexpr double LongestSeconds = 3600; // of a pool that serves nothing
  return duration(std::llround(std::min(Ahead / Rate, LongestSeconds) * 1e6));
}

instant request_scheduler::dispatchDeadline(const queued_request &Request,
                                            instant Now) const noexcept {
  const auto Expected = PlainAnswers.expected();
  if (!Expected || Request.ResponseTarget == instant::max()) {
    return Request.DispatchDeadline;
  }
  const instant Latest = Request.ResponseTarget - *Expected;
  // An answer that comes late in any case may as well wait for its turn.
  // Without some queue, upstreams stand idle between two arrivals.
  const instant Least = Now + (Request.DispatchDeadline - Now) / 2;
  return Latest <= Now
             ? Request.DispatchDeadline
             : std::min(Request.DispatchDeadline, std::max(Least, Latest));
}

void request_scheduler::noteAnswer(const running_request &Request,
                                   const upstream_load &Load,
                                   upstream_result Health, instant Now) {
  const bool Known = Request.SentAt != instant{};
  if (Known && !Load.Facts.IsModelEngine &&
      Health == upstream_result::Succeeded) {
    PlainAnswers.add(Now - Request.SentAt);
  }
}

void request_scheduler::noteServed(team_id Team, double Cost, instant Now) {
  Served.add(Cost, Now);
  ServedOf.try_emplace(Team, RateWindow).first->second.add(Cost, Now);
}

std::optional<upstream_id> request_scheduler::enqueue(queued_request Request,
                                                      instant Now) {
  // A request that arrives while others wait joins them, so that it does not
  // overtake a team with less service.
  if (Waiting.empty()) {
    if (const auto Upstream = choose(Request, Now)) {
      send(Request, *Upstream, Now);
      return Upstream;
    }
  }
  if (Waiting.empty()) {
    BackloggedSince = Now;
  }
  Request.DispatchDeadline = dispatchDeadline(Request, Now);
  QueuedCost[Request.Team] += Request.Cost;
  Waiting.emplace(Request.RequestId,
                  std::pair(Request.Team, Request.DispatchDeadline));
  SendBy.emplace(Request.DispatchDeadline, Request.RequestId);
  auto &Queue = Queues[Request.Team];
  if (Queue.empty()) {
    Order.setBacklogged(Request.Team, true);
  }
  Queue.push_back(std::move(Request));
  return std::nullopt;
}

bool request_scheduler::cancel(std::uint64_t RequestId) {
  const auto Found = Waiting.find(RequestId);
  if (Found == Waiting.end()) {
    return false;
  }
  const auto [Team, Until] = Found->second;
  Waiting.erase(Found);
  SendBy.erase({Until, RequestId});
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
    Order.setBacklogged(Team, false);
  }
  return true;
}

void request_scheduler::onFirstByte(std::uint64_t RequestId) {
  const auto Found = Running.find(RequestId);
  if (Found != Running.end()) {
    endPrefill(Found->second);
  }
}

void request_scheduler::complete(std::uint64_t RequestId,
                                 upstream_result Health, instant Now) {
  const auto Found = Running.find(RequestId);
  if (Found == Running.end()) {
    return;
  }
  endPrefill(Found->second);
  const running_request Ended = Found->second;
  Running.erase(Found);
  const auto Upstream = Upstreams.find(Ended.Upstream);
  if (Upstream == Upstreams.end()) {
    return;
  }
  auto &Load = Upstream->second;
  noteAnswer(Ended, Load, Health, Now);
  Load.InFlight -= std::min(1U, Load.InFlight);
  ++Load.EndedSince;
  if (Health == upstream_result::Unreachable) {
    const auto Doublings = std::min(Load.Unreachable, MostDoublings);
    Load.AvoidUntil = Now + FirstAvoidance * (1U << Doublings);
    ++Load.Unreachable;
  } else if (Health == upstream_result::Overloaded) {
    Load.AvoidUntil = std::max(Load.AvoidUntil, Now + RefusalPause);
  } else if (Health != upstream_result::Ignored) {
    const double Failed = Health == upstream_result::Failed ? 1 : 0;
    Load.FailureRate += (Failed - Load.FailureRate) * FailureWeight;
    Load.Unreachable = 0;
  }
}

void request_scheduler::onLoadReport(upstream_id Upstream,
                                     const load_report &Report) {
  const auto Found = Upstreams.find(Upstream);
  if (Found == Upstreams.end() ||
      (Found->second.Reported && Found->second.Reported->At > Report.At)) {
    return;
  }
  Found->second.Reported = Report;
  Found->second.SentSince = 0;
  Found->second.EndedSince = 0;
}

std::vector<dispatch_decision> request_scheduler::dispatchReady(instant Now) {
  std::vector<dispatch_decision> Ready;
  const auto AnyRoom = [&] {
    return std::any_of(Upstreams.begin(), Upstreams.end(),
                       [&](const auto &Entry) {
                         return accepts(Entry.second, Now) &&
                                hasRoom(Entry.second, Sharers, Now);
                       });
  };
  while (!Waiting.empty() && AnyRoom()) {
    const auto Next = takeNext(Now);
    if (!Next) {
      break;
    }
    Ready.push_back(*Next);
  }
  return Ready;
}

std::optional<dispatch_decision>
request_scheduler::findReady(const std::deque<queued_request> &Queue,
                             instant Now) const {
  const std::size_t Most = std::min(Queue.size(), MostLookedAt);
  for (std::size_t I = 0; I < Most; ++I) {
    if (const auto Upstream = choose(Queue[I], Now)) {
      return dispatch_decision{Queue[I].RequestId, *Upstream};
    }
  }
  return std::nullopt;
}

std::optional<dispatch_decision> request_scheduler::takeNext(instant Now) {
  std::optional<dispatch_decision> Ready;
  const auto Team = Order.selectTeam([&](team_id Candidate) {
    const auto Queue = Queues.find(Candidate);
    Ready =
        Queue == Queues.end() ? std::nullopt : findReady(Queue->second, Now);
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

std::vector<std::uint64_t> request_scheduler::expireWaiting(instant Now) {
  std::vector<std::uint64_t> Expired;
  while (!SendBy.empty() && SendBy.begin()->first <= Now) {
    Expired.push_back(SendBy.begin()->second);
    cancel(Expired.back());
  }
  return Expired;
}

bool request_scheduler::anyUsable() const noexcept {
  return std::any_of(Upstreams.begin(), Upstreams.end(), [](const auto &Entry) {
    return Entry.second.Facts.Usable;
  });
}

const upstream_load *request_scheduler::find(upstream_id Upstream) const {
  const auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

std::uint64_t
request_scheduler::fewestMissing(const queued_request &Request) const {
  std::uint64_t Fewest = std::numeric_limits<std::uint64_t>::max();
  for (const auto &[Id, Load] : Upstreams) {
    if (Load.Facts.Usable) {
      Fewest = std::min(Fewest, Load.Cache.missingTokens(Request.Prompt));
    }
  }
  return Fewest;
}

double request_scheduler::scoreOf(const queued_request &Request,
                                  const upstream_load &Load,
                                  std::uint64_t FewestMissing,
                                  instant Now) const {
  const double Requests = estimatedRequests(Load, Sharers, Now);
  if (!Load.Facts.IsModelEngine) {
    return Requests / std::max(1U, Load.Facts.Slots) +
           FailureCostRequests * Load.FailureRate;
  }
  const auto Missing = Load.Cache.missingTokens(Request.Prompt);
  return static_cast<double>(Load.PrefillTokens * Sharers + Missing) +
         RereadCost * static_cast<double>(Missing - FewestMissing) +
         RunningCostTokens * Requests + FailureCostTokens * Load.FailureRate;
}

std::optional<upstream_id>
request_scheduler::choose(const queued_request &Request, instant Now) const {
  const auto Fewest = fewestMissing(Request);
  // Capacity must not stand idle while a plain call waits for a full upstream
  // that failed a little less often.
  const auto IsIdleCapacity = [&](const upstream_load &Load) {
    return !Load.Facts.IsModelEngine &&
           Load.FailureRate < TolerableFailureRate &&
           hasRoom(Load, Sharers, Now);
  };
  bool BestIsIdle = false;
  const upstream_load *Best = nullptr;
  double BestScore = 0;
  std::uint64_t BestRank = 0;
  for (const auto &[Id, Load] : Upstreams) {
    const bool Excluded =
        std::find(Request.Excluded.begin(), Request.Excluded.end(), Id) !=
        Request.Excluded.end();
    if (Excluded || !accepts(Load, Now)) {
      continue;
    }
    const bool Idle = IsIdleCapacity(Load);
    if (Best != nullptr && BestIsIdle && !Idle) {
      continue;
    }
    const double Score = scoreOf(Request, Load, Fewest, Now);
    const auto Rank = rankOf(Request, Load.Facts.Name, Seed);
    if (Best == nullptr || Idle != BestIsIdle || Score < BestScore ||
        (Score == BestScore && Rank > BestRank)) {
      BestIsIdle = Idle;
      Best = &Load;
      BestScore = Score;
      BestRank = Rank;
    }
  }
  // A full upstream that is the best all the same is worth waiting for.
  if (Best == nullptr || !hasRoom(*Best, Sharers, Now)) {
    return std::nullopt;
  }
  return Best->Facts.Id;
}

void request_scheduler::send(const queued_request &Request,
                             upstream_id Upstream, instant Now) {
  auto &Load = Upstreams.at(Upstream);
  const auto Missing = Load.Cache.missingTokens(Request.Prompt);
  Load.Cache.use(Request.Prompt);
  ++Load.InFlight;
  ++Load.SentSince;
  Load.PrefillTokens += Missing;
  if (Load.Facts.ColdRequestsPerSecond > 0) {
    Load.NextCold = Now + coldInterval(Load);
  }
  Running[Request.RequestId] = {Upstream, Missing, Now};
  Order.charge(Request.Team, Request.Cost);
  noteServed(Request.Team, Request.Cost, Now);
}

void request_scheduler::restoreInFlight(std::uint64_t RequestId,
                                        upstream_id Upstream) {
  const auto Found = Upstreams.find(Upstream);
  if (Found != Upstreams.end() &&
      Running.emplace(RequestId, running_request{Upstream}).second) {
    ++Found->second.InFlight;
  }
}

void request_scheduler::endPrefill(running_request &Request) {
  const auto Found = Upstreams.find(Request.Upstream);
  if (Found != Upstreams.end()) {
    auto &Tokens = Found->second.PrefillTokens;
    Tokens -= std::min(Tokens, Request.PrefillTokens);
  }
  Request.PrefillTokens = 0;
}

duration request_scheduler::coldInterval(const upstream_load &Load) const {
  const double Seconds =
      Sharers / std::max(ColdShare * Load.Facts.ColdRequestsPerSecond, 0.01);
  return duration(std::llround(Seconds * 1e6));
}

} // namespace arbutus::balance
