#include "traffic/version_routing.h"

#include "base/digest.h"
#include "traffic/upstream_selection.h"

#include <algorithm>
#include <utility>

namespace arbutus::traffic {

namespace {

constexpr int MinServerErrorStatus = 500;
/// Part of its time in the queue that a request waits for a version under test.
constexpr double CanaryWaitShare = 0.25;

/// True if the random selection by the request's id names the canary.
bool isSelected(const traffic_request &Request, const store::rollout &Rollout) {
  constexpr std::uint64_t Steps = 10'000;
  const auto Point =
      hash64(Request.Caller.Id, static_cast<std::uint64_t>(Rollout.StartedMs)) %
      Steps;
  return static_cast<double>(Point) < Rollout.targetShare() * Steps;
}

rollout::exposure_limit &exposureOf(const traffic_request &Request,
                                    const store::rollout &Rollout) {
  auto &Shard = Request.Shard;
  auto &Limit = Shard.Exposure[Request.Service];
  Limit.begin(Rollout.StartedMs, number(Shard.Context.Node),
              Shard.Slots.liveRouterCount());
  return Limit;
}

bool mayTest(const traffic_request &Request, const store::rollout &Rollout) {
  const auto &Limit = exposureOf(Request, Rollout);
  return Request.Attempts == 0 && Limit.allows(Rollout.targetShare()) &&
         isSelected(Request, Rollout);
}

} // namespace

void choosePool(traffic_request &Request) {
  const auto View = currentView(Request.Shard);
  const auto &Traffic = View->traffic();
  const auto Pools = Traffic.pools(Request.Service);
  const bool WasInCanary = std::exchange(Request.InCanary, false);
  Request.Pool = Pools.Main;
  if (Pools.Canary.empty() || WasInCanary) {
    return;
  }
  if (mayTest(Request, *Traffic.rolloutOf(Request.Service)) &&
      Request.Shard.Slots.hasUsableUpstream(Pools.Canary, Request.Excluded)) {
    Request.Pool = Pools.Canary;
    Request.InCanary = true;
  }
}

instant dispatchDeadline(const traffic_request &Request, instant Now) {
  if (!Request.InCanary || Request.DispatchDeadline <= Now) {
    return Request.DispatchDeadline;
  }
  const auto Left =
      static_cast<double>(toMicros(Request.DispatchDeadline - Now));
  return Now + duration(static_cast<std::int64_t>(CanaryWaitShare * Left));
}

bool leavePool(traffic_request &Request, instant Now) {
  if (Now >= Request.Deadline) {
    return false;
  }
  if (Request.InCanary) {
    return true;
  }
  const auto View = currentView(Request.Shard);
  if (View->traffic().pools(Request.Service).Main == Request.Pool) {
    return false;
  }
  // A phase of the rollout has begun while the request waited. It may wait
  // again, because nothing of its time was of use.
  Request.DispatchDeadline =
      std::max(Request.DispatchDeadline, Now + (Request.Deadline - Now) / 2);
  return true;
}

void recordVersionSent(const traffic_request &Request) {
  auto &Versions = Request.Shard.Context.Versions;
  Versions.onSent(Request.Service, Request.Attempt.Version);
  if (!Versions.isActive()) {
    return;
  }
  const auto View = currentView(Request.Shard);
  const auto *Rollout = View->traffic().rolloutOf(Request.Service);
  if (Rollout != nullptr && Rollout->isRunning()) {
    exposureOf(Request, *Rollout)
        .onSent(Request.Attempt.Version == Rollout->Target);
  }
}

void recordVersionWithheld(const traffic_request &Request) {
  Request.Shard.Context.Versions.onEnded(Request.Service,
                                         Request.Attempt.Version);
}

void recordVersionOutcome(const traffic_request &Request,
                          net::call_outcome Outcome) {
  auto &Versions = Request.Shard.Context.Versions;
  const auto &Attempt = Request.Attempt;
  const auto &Info = Attempt.ResponseInfo;
  Versions.onEnded(Request.Service, Attempt.Version);
  if (!Versions.isActive() || Info.NotRun || Info.Misdirected) {
    return;
  }
  const instant Now = monotonic_clock::now();
  rollout::attempt_observation Observed;
  Observed.Answered = Outcome == net::call_outcome::Complete && Info.Identified;
  Observed.Failed = Observed.Answered && Attempt.Status >= MinServerErrorStatus;
  const bool GivenUp = Outcome == net::call_outcome::DeadlinePassed ||
                       Outcome == net::call_outcome::Cancelled;
  if (GivenUp || (Observed.Answered && !Observed.Failed)) {
    Observed.Time = Now - Attempt.SentAt;
  }
  Versions.onObserved(Request.Service, Request.Route->Name, Attempt.Version,
                      Attempt.Upstream, Observed, Now);
}

} // namespace arbutus::traffic
