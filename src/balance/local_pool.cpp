#include "balance/local_pool.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>

namespace arbutus::balance {

namespace {

/// Load that the first and the second upstream of an affinity may have above
/// the others before requests go elsewhere. Reading a shared prompt again
/// costs more than a short queue.
constexpr double FirstChoiceBonus = 0.35;
constexpr double SecondChoiceBonus = 0.15;
/// Weight of recent failures against load.
constexpr double FailurePenalty = 1.0;
/// Share of the newest result in the failure rate.
constexpr double FailureWeight = 0.1;
/// Time without requests after the first failed connection; it doubles with
/// each further one.
constexpr duration FirstAvoidance = 500ms;
constexpr std::uint32_t MostDoublings = 3;
/// Time without requests after an upstream had no room.
constexpr duration RefusalPause = 100ms;

/// Order of the upstreams for requests of one affinity, the same at every
/// router (rendezvous hashing). Other requests get an order each, which
/// spreads them over upstreams of equal load.
std::uint64_t rankOf(const queued_request &Request, const std::string &Name,
                     std::uint64_t Seed) {
  return Request.Affinity != 0 ? hash64(Name, Request.Affinity)
                               : hash64(Name, Request.RequestId + Seed);
}

} // namespace

void local_pool::setUpstreams(const std::vector<upstream_facts> &List,
                              instant Now) {
  std::map<upstream_id, upstream_load> Next;
  for (const auto &Facts : List) {
    const auto Known = Upstreams.find(Facts.Id);
    const bool Same = Known != Upstreams.end() &&
                      Known->second.Facts.StartedMs == Facts.StartedMs;
    auto Load = Same ? Known->second : upstream_load{};
    const bool TurnsCold = Facts.ColdRate > 0 && Load.Facts.ColdRate <= 0;
    Load.Facts = Facts;
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

void local_pool::setRouters(std::uint32_t Count) noexcept {
  Routers = std::max(1U, Count);
}

std::optional<upstream_id> local_pool::enqueue(queued_request Request,
                                               instant Now) {
  // A request that arrives while others wait joins them, so that it does not
  // overtake a team with less service.
  if (Waiting.empty()) {
    if (const auto Upstream = choose(Request, Now)) {
      send(Request, *Upstream, Now);
      return Upstream;
    }
  }
  Waiting.emplace(Request.RequestId, std::pair(Request.Team, Request.Deadline));
  Deadlines.emplace(Request.Deadline, Request.RequestId);
  auto &Queue = Queues[Request.Team];
  if (Queue.empty()) {
    Order.setBacklogged(Request.Team, true);
  }
  Queue.push_back(std::move(Request));
  return std::nullopt;
}

bool local_pool::cancel(std::uint64_t RequestId) {
  const auto Found = Waiting.find(RequestId);
  if (Found == Waiting.end()) {
    return false;
  }
  const auto [Team, Deadline] = Found->second;
  Waiting.erase(Found);
  Deadlines.erase({Deadline, RequestId});
  auto &Queue = Queues[Team];
  std::erase_if(Queue, [RequestId](const auto &Request) {
    return Request.RequestId == RequestId;
  });
  if (Queue.empty()) {
    Queues.erase(Team);
    Order.setBacklogged(Team, false);
  }
  return true;
}

void local_pool::onFirstByte(std::uint64_t RequestId) {
  const auto Found = Running.find(RequestId);
  if (Found != Running.end()) {
    endPrefill(Found->second);
  }
}

void local_pool::complete(std::uint64_t RequestId, call_health Health,
                          instant Now) {
  const auto Found = Running.find(RequestId);
  if (Found == Running.end()) {
    return;
  }
  endPrefill(Found->second);
  const auto Upstream = Upstreams.find(Found->second.Upstream);
  Running.erase(Found);
  if (Upstream == Upstreams.end()) {
    return;
  }
  auto &Load = Upstream->second;
  Load.InFlight -= std::min(1U, Load.InFlight);
  ++Load.EndedSince;
  if (Health == call_health::Unreachable) {
    const auto Doublings = std::min(Load.Unreachable, MostDoublings);
    Load.AvoidUntil = Now + FirstAvoidance * (1U << Doublings);
    ++Load.Unreachable;
  } else if (Health == call_health::Refused) {
    Load.AvoidUntil = std::max(Load.AvoidUntil, Now + RefusalPause);
  } else if (Health != call_health::Neutral) {
    const double Failed = Health == call_health::Failed ? 1 : 0;
    Load.FailureRate += (Failed - Load.FailureRate) * FailureWeight;
    Load.Unreachable = 0;
  }
}

void local_pool::onLoad(upstream_id Upstream, const reported_load &Report) {
  const auto Found = Upstreams.find(Upstream);
  if (Found == Upstreams.end() ||
      (Found->second.Reported && Found->second.Reported->At > Report.At)) {
    return;
  }
  Found->second.Reported = Report;
  Found->second.SentSince = 0;
  Found->second.EndedSince = 0;
}

std::vector<dispatch> local_pool::takeReady(instant Now) {
  std::vector<dispatch> Ready;
  while (auto Next = takeNext(Now)) {
    Ready.push_back(*Next);
  }
  return Ready;
}

std::optional<dispatch> local_pool::takeNext(instant Now) {
  std::optional<upstream_id> Upstream;
  const auto Team = Order.pick([&](team_id Candidate) {
    const auto Queue = Queues.find(Candidate);
    if (Queue == Queues.end() || Queue->second.empty()) {
      return false;
    }
    Upstream = choose(Queue->second.front(), Now);
    return Upstream.has_value();
  });
  if (!Team) {
    return std::nullopt;
  }
  const queued_request Request = Queues.at(*Team).front();
  cancel(Request.RequestId);
  send(Request, *Upstream, Now);
  return dispatch{Request.RequestId, *Upstream};
}

std::vector<std::uint64_t> local_pool::expire(instant Now) {
  std::vector<std::uint64_t> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    Expired.push_back(Deadlines.begin()->second);
    cancel(Expired.back());
  }
  return Expired;
}

bool local_pool::anyUsable() const noexcept {
  return std::any_of(Upstreams.begin(), Upstreams.end(), [](const auto &Entry) {
    return Entry.second.Facts.Usable;
  });
}

const upstream_load *local_pool::find(upstream_id Upstream) const {
  const auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

std::optional<upstream_id> local_pool::choose(const queued_request &Request,
                                              instant Now) const {
  struct candidate {
    upstream_id Id{};
    double Load = 0;
    double Penalty = 0;
    std::uint64_t Rank = 0;
  };
  std::vector<candidate> Open;
  for (const auto &[Id, Load] : Upstreams) {
    const bool Excluded =
        std::find(Request.Excluded.begin(), Request.Excluded.end(), Id) !=
        Request.Excluded.end();
    if (!Excluded && accepts(Load, Now)) {
      Open.push_back({Id, relativeLoad(Load, Routers, Now),
                      FailurePenalty * Load.FailureRate,
                      rankOf(Request, Load.Facts.Name, Seed)});
    }
  }
  std::sort(Open.begin(), Open.end(), [](const auto &Left, const auto &Right) {
    return Left.Rank > Right.Rank;
  });
  if (Request.Affinity != 0) {
    constexpr double Bonus[] = {FirstChoiceBonus, SecondChoiceBonus};
    for (std::size_t I = 0; I < std::min(Open.size(), std::size(Bonus)); ++I) {
      Open[I].Penalty -= Bonus[I];
    }
  }
  const candidate *Best = nullptr;
  for (const auto &Candidate : Open) {
    if (Candidate.Load < 1 &&
        (Best == nullptr ||
         Candidate.Load + Candidate.Penalty < Best->Load + Best->Penalty)) {
      Best = &Candidate;
    }
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Id);
}

void local_pool::send(const queued_request &Request, upstream_id Upstream,
                      instant Now) {
  auto &Load = Upstreams.at(Upstream);
  ++Load.InFlight;
  ++Load.SentSince;
  Load.PrefillTokens += Request.PromptTokens;
  if (Load.Facts.ColdRate > 0) {
    Load.NextCold = Now + coldInterval(Load);
  }
  Running[Request.RequestId] = {Upstream, Request.PromptTokens};
  Order.charge(Request.Team, Request.Cost);
}

void local_pool::endPrefill(running_request &Request) {
  const auto Found = Upstreams.find(Request.Upstream);
  if (Found != Upstreams.end()) {
    auto &Tokens = Found->second.PrefillTokens;
    Tokens -= std::min(Tokens, Request.PromptTokens);
  }
  Request.PromptTokens = 0;
}

duration local_pool::coldInterval(const upstream_load &Load) const {
  const double Seconds = Routers / std::max(Load.Facts.ColdRate, 0.01);
  return duration(std::llround(Seconds * 1e6));
}

} // namespace arbutus::balance
