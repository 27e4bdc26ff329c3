#include "balance/request_scheduler.h"
#include "base/digest.h"

#include <algorithm>
#include <limits>

namespace arbutus::balance {

namespace {

/// Penalty of a running request at a model engine, in prompt tokens: each
/// running request slows the decoding steps of the others slightly.
constexpr double RunningPenaltyTokens = 100;
/// Extra penalty per prompt token that another engine has cached, on top of the
/// prefill itself. A repeated prefill uses capacity that other callers wait for
/// while most engines are busy, and costs them little while few are: a request
/// then does not wait long for the engine with the cached prompt.
constexpr double IdleCacheMissPenaltyPerToken = 2;
constexpr double BusyCacheMissPenaltyPerToken = 10;
/// Penalty of an engine whose requests all fail, in prompt tokens.
constexpr double FailurePenaltyTokens = 20'000;
/// Penalty of a plain upstream whose requests all fail, in requests per slot.
constexpr double FailurePenaltyRequestsPerSlot = 12;
/// From this failure rate on, a plain upstream with spare capacity is no longer
/// preferred to a full one, and a team that is far behind does not take a model
/// engine only because it is free. Lower rates are attributed to the requests,
/// not to the upstream.
constexpr double TolerableFailureRate = 0.35;
/// A team waits for its preferred upstreams until it is this time of an even
/// share behind another team. Fairness over a few seconds needs a bound.
constexpr duration MaxLocalityLag = 1s;
/// A model engine is stalled once it is at a prompt for this many times the
/// usual time to a first byte, and for no less than `MinStallTime`.
constexpr int StallFactor = 3;
constexpr duration MinStallTime = 250ms;

/// Breaks ties between upstreams of equal penalty differently for each request.
std::uint64_t tieBreakRank(const queued_request &Request,
                           const std::string &Name, std::uint64_t Seed) {
  return hash64(Name, Request.RequestId + Seed);
}

double cacheMissPenaltyPerToken(double BusyShare) {
  return IdleCacheMissPenaltyPerToken +
         (BusyCacheMissPenaltyPerToken - IdleCacheMissPenaltyPerToken) *
             BusyShare * BusyShare;
}

bool isExcluded(const queued_request &Request, upstream_id Upstream) {
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   Upstream) != Request.Excluded.end();
}

} // namespace

upstream_id request_scheduler::homeEngine(const queued_request &Request) const {
  const auto Affinity = sharedPrefixHash(Request.Prompt);
  upstream_id Home{};
  if (!Affinity) {
    return Home;
  }
  std::uint64_t Highest = 0;
  for (const auto &[Id, Load] : Upstreams) {
    if (!Load.Info.Usable || isExcluded(Request, Id)) {
      continue;
    }
    if (Load.Cache.contains(*Affinity)) {
      return {};
    }
    const auto Weight = hash64(Load.Info.Name, *Affinity);
    if (number(Home) == 0 || Weight > Highest) {
      Home = Id;
      Highest = Weight;
    }
  }
  return Home;
}

request_scheduler::cache_estimate
request_scheduler::estimateCaches(const queued_request &Request) const {
  cache_estimate Estimate;
  if (Request.Prompt.empty()) {
    return Estimate;
  }
  Estimate.MissPenaltyPerToken = cacheMissPenaltyPerToken(BusyShare);
  Estimate.Home = homeEngine(Request);
  if (number(Estimate.Home) != 0) {
    Estimate.MinUncached = Request.Prompt.back().Tokens;
    return Estimate;
  }
  Estimate.MinUncached = std::numeric_limits<std::uint64_t>::max();
  for (const auto &[Id, Load] : Upstreams) {
    if (Load.Info.Usable) {
      Estimate.MinUncached = std::min(
          Estimate.MinUncached, Load.Cache.uncachedTokens(Request.Prompt));
    }
  }
  return Estimate;
}

double request_scheduler::selectionPenalty(const queued_request &Request,
                                           const upstream_load &Load,
                                           const cache_estimate &Caches,
                                           instant Now) const {
  const double Requests = estimatedRequests(Load, SchedulerCount, Now);
  if (!Load.Info.IsModelEngine) {
    return Requests / std::max(1U, Load.Info.Slots) +
           FailurePenaltyRequestsPerSlot * Load.FailureRate;
  }
  const auto Uncached = Load.Info.Id == Caches.Home
                            ? Caches.MinUncached
                            : Load.Cache.uncachedTokens(Request.Prompt);
  return static_cast<double>(Load.PrefillTokens * SchedulerCount + Uncached) +
         Caches.MissPenaltyPerToken *
             static_cast<double>(Uncached - Caches.MinUncached) +
         RunningPenaltyTokens * Requests +
         FailurePenaltyTokens * Load.FailureRate;
}

template <class Predicate>
const upstream_load *
request_scheduler::findLowestPenalty(const queued_request &Request, instant Now,
                                     Predicate Accepts) const {
  const auto Caches = estimateCaches(Request);
  // Spare capacity must not stay unused while a request to a plain upstream
  // waits for a full upstream with a slightly lower failure rate.
  const auto HasSpareCapacity = [&](const upstream_load &Load) {
    return !Load.Info.IsModelEngine &&
           Load.FailureRate < TolerableFailureRate &&
           hasCapacity(Load, SchedulerCount, Now);
  };
  bool BestHasSpare = false;
  const upstream_load *Best = nullptr;
  double LowestPenalty = 0;
  for (const auto &[Id, Load] : Upstreams) {
    if (isExcluded(Request, Id) || !isEligible(Load, Now) || !Accepts(Load)) {
      continue;
    }
    const bool Spare = HasSpareCapacity(Load);
    if (Best != nullptr && BestHasSpare && !Spare) {
      continue;
    }
    const double Penalty = selectionPenalty(Request, Load, Caches, Now);
    if (Best == nullptr || Spare != BestHasSpare || Penalty < LowestPenalty ||
        (Penalty == LowestPenalty &&
         tieBreakRank(Request, Load.Info.Name, Seed) >
             tieBreakRank(Request, Best->Info.Name, Seed))) {
      BestHasSpare = Spare;
      Best = &Load;
      LowestPenalty = Penalty;
    }
  }
  return Best;
}

const upstream_load *
request_scheduler::preferredUpstream(const queued_request &Request,
                                     instant Now) const {
  return findLowestPenalty(Request, Now,
                           [](const upstream_load &) { return true; });
}

std::optional<upstream_id>
request_scheduler::selectUpstream(const queued_request &Request,
                                  instant Now) const {
  const auto *Best = preferredUpstream(Request, Now);
  const bool IsBusy =
      Best != nullptr && !hasCapacity(*Best, SchedulerCount, Now);
  if (IsBusy && isStalled(*Best, Now)) {
    Best = findLowestPenalty(Request, Now, [&](const upstream_load &Load) {
      return !isStalled(Load, Now);
    });
  }
  // A busy upstream is worth waiting for while it makes progress.
  if (Best == nullptr || !hasCapacity(*Best, SchedulerCount, Now)) {
    return std::nullopt;
  }
  return Best->Info.Id;
}

std::optional<upstream_id>
request_scheduler::selectFreeUpstream(const queued_request &Request,
                                      instant Now) const {
  const auto *Best =
      findLowestPenalty(Request, Now, [&](const upstream_load &Load) {
        return Load.FailureRate < TolerableFailureRate &&
               hasCapacity(Load, SchedulerCount, Now);
      });
  return Best == nullptr ? std::nullopt : std::optional(Best->Info.Id);
}

bool request_scheduler::isFarBehind(team_id Team, instant Now) const {
  const double EvenRate =
      TotalServedRate.value(Now) /
      static_cast<double>(std::max<std::size_t>(1, Queues.size()));
  return FairQueue.lag(Team) > EvenRate * toSeconds(MaxLocalityLag);
}

bool request_scheduler::isStalled(const upstream_load &Load,
                                  instant Now) const noexcept {
  const auto Expected = FirstByteTime.expected();
  return Expected && Load.PrefillTokens != 0 &&
         Now - Load.PrefillProgressAt >
             std::max(MinStallTime, StallFactor * *Expected);
}

} // namespace arbutus::balance
