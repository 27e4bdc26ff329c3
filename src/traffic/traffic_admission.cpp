#include "traffic/traffic_admission.h"

#include "base/digest.h"

#include <algorithm>

namespace arbutus::traffic {

namespace {

using router::request_error;

/// Cost of an output token relative to a prompt token: a prompt is processed in
/// large chunks, while each output token takes a step of its own.
constexpr double OutputTokenCost = 2;

/// Selects the service by the weights of the route's targets. Depends only on
/// the request id.
const std::string &chooseTarget(const store::traffic_route &Route,
                                std::string_view RequestId) {
  std::uint64_t Sum = 0;
  for (const auto &Target : Route.Targets) {
    Sum += Target.Weight;
  }
  std::uint64_t Point = hash64(RequestId) % std::max<std::uint64_t>(1, Sum);
  for (const auto &Target : Route.Targets) {
    if (Point < Target.Weight) {
      return Target.Service;
    }
    Point -= Target.Weight;
  }
  return Route.Targets.front().Service;
}

/// The blocks of the prompt, each with the hash of all blocks up to it.
std::vector<balance::prompt_block> promptBlocks(const caller_request &Caller) {
  std::vector<balance::prompt_block> Prompt;
  std::uint64_t Hash = hash64(Caller.Model);
  for (const auto &Segment : Caller.Prompt) {
    Hash = hash64(Segment.Id, Hash);
    Prompt.push_back({Hash, Segment.Tokens});
  }
  if (Prompt.empty() && Caller.PromptTokens != 0) {
    Prompt.push_back({hash64(Caller.Id, Hash), Caller.PromptTokens});
  }
  return Prompt;
}

/// All segments of the prompt but the last, which belongs to the request alone.
std::vector<router::segment_hash>
sharedSegments(const std::vector<prompt_segment> &Prompt) {
  std::vector<router::segment_hash> Shared;
  for (std::size_t I = 0; I + 1 < Prompt.size(); ++I) {
    Shared.push_back(router::segment_hash{hash64(Prompt[I].Id)});
  }
  return Shared;
}

/// Maximum time in the queue. The owner of the cell shortens it by the time
/// that the response is expected to take. Prompts that wait for this long are
/// enough for engines to choose from; with a long objective, a stream waits for
/// a smaller share of it. Without an objective nothing says how long a response
/// to wait for is of use.
duration maxQueueTime(const store::traffic_route &Route) {
  constexpr double MaxShare = 0.8;
  constexpr double StreamShare = 0.4;
  constexpr double UsefulStreamQueueMs = 400;
  const bool IsStream = Route.Kind == store::request_kind::Stream;
  double LimitMs =
      (IsStream ? StreamShare : MaxShare) *
      (Route.ObjectiveMs != 0 ? Route.ObjectiveMs : Route.TimeoutMs);
  if (IsStream && Route.ObjectiveMs != 0) {
    LimitMs = std::max(
        LimitMs, std::min(MaxShare * Route.ObjectiveMs, UsefulStreamQueueMs));
  }
  return duration(static_cast<std::int64_t>(LimitMs * 1000));
}

double costOf(const caller_request &Caller) {
  const auto Output =
      Caller.ExpectedOutputTokens != 0
          ? std::min(Caller.ExpectedOutputTokens, Caller.MaxOutputTokens)
          : Caller.MaxOutputTokens / 2;
  return std::max(1.0, static_cast<double>(Caller.PromptTokens) +
                           OutputTokenCost * static_cast<double>(Output));
}

result<void, request_error> findTeam(traffic_request &Request) {
  const auto &Traffic = Request.View->traffic();
  const auto &Config = *Traffic.config();
  const bool NeedsKey = Config.RequiresKeys || !Config.Teams.empty();
  if (Request.Route->Public || !NeedsKey) {
    return outcome::success();
  }
  Request.Team = Traffic.teamOfKey(Request.Caller.ApiKey);
  if (Request.Team == nullptr) {
    return request_error::InvalidKey;
  }
  return outcome::success();
}

} // namespace

result<traffic_request_ptr, router::request_error>
admitRequest(traffic_shard &Shard,
             const std::shared_ptr<net::http_exchange> &Exchange,
             const caller_request &Caller) {
  auto &Context = Shard.Context;
  auto Request = std::make_shared<traffic_request>(Shard, Exchange);
  Request->Arrived = monotonic_clock::now();
  Request->Id = Context.LastRequestId.fetch_add(1) + 1;
  Request->Caller = Caller;
  Request->Method = Exchange->request().Method;
  Request->Target = Exchange->request().Target;
  if (!router::holdsLease(Context, Request->Arrived)) {
    return request_error::NotServing;
  }
  if (Context.ActiveRequests.load() > Context.MaxActiveRequests) {
    return request_error::Overloaded;
  }
  if (Context.Drain.load() == router::drain_phase::Draining) {
    return request_error::ShuttingDown;
  }
  const auto State = Context.Routing.read([](const auto &S) { return S; });
  Request->View = State.View;
  const auto &Traffic = State.View->traffic();
  if (Traffic.config() == nullptr) {
    return request_error::NotServing;
  }
  Request->Route =
      Traffic.matchRoute(Caller.Host, net::pathOf(Request->Target));
  if (Request->Route == nullptr) {
    return request_error::UnknownRoute;
  }
  if (const auto Found = findTeam(*Request); Found.has_error()) {
    return Found.error();
  }
  Request->SharedSegments = sharedSegments(Caller.Prompt);
  if (Traffic.isQuarantined(Request->SharedSegments)) {
    return request_error::PromptQuarantined;
  }
  const auto BodyLimit = Traffic.config()->Limits.BodyBytes;
  if (Exchange->request().BodyTooLong ||
      (BodyLimit != 0 && Exchange->request().Body.size() > BodyLimit)) {
    return request_error::BodyTooLarge;
  }
  Request->Body = std::make_shared<const std::string>(Exchange->takeBody());
  Request->Service = chooseTarget(*Request->Route, Caller.Id);
  const duration Timeout = std::chrono::milliseconds(Request->Route->TimeoutMs);
  Request->Deadline =
      Request->Arrived + std::min(Timeout, Caller.Timeout.value_or(Timeout));
  Request->Cost = costOf(Caller);
  Request->Prompt = promptBlocks(Caller);
  Request->DispatchDeadline = std::min(
      Request->Deadline, Request->Arrived + maxQueueTime(*Request->Route));
  if (Request->Route->ObjectiveMs != 0) {
    Request->ResponseTarget =
        Request->Arrived +
        std::chrono::milliseconds(Request->Route->ObjectiveMs);
  }
  return Request;
}

} // namespace arbutus::traffic
