#include "traffic/traffic_flow.h"

#include "base/log.h"
#include "router/retry_policy.h"
#include "traffic/traffic_admission.h"
#include "traffic/traffic_end.h"

#include <algorithm>

namespace arbutus::traffic {

namespace {

using balance::upstream_result;
using router::execution_outcome;
using router::request_error;
using router::request_phase;
using router::retry_action;

/// Longest answer that is buffered, in bytes.
constexpr std::size_t MostAnswerBytes = std::size_t{16} << 20U;
constexpr int FirstFailureStatus = 300;
constexpr int FirstServerError = 500;

void enqueueRequest(const traffic_request_ptr &Request);

/// What the end of a call says about the upstream's health.
upstream_result healthOf(const traffic_request &Request,
                         net::call_outcome Outcome) {
  switch (Outcome) {
  case net::call_outcome::NothingSent:
    return upstream_result::Unreachable;
  case net::call_outcome::Cancelled:
  case net::call_outcome::DeadlinePassed:
    return upstream_result::Ignored;
  case net::call_outcome::SentNoAnswer:
  case net::call_outcome::AnswerBroken:
    return upstream_result::Failed;
  case net::call_outcome::Complete:
    break;
  }
  if (Request.Call.Facts.NotRun) {
    return upstream_result::Overloaded;
  }
  return Request.Call.Status < FirstServerError ? upstream_result::Succeeded
                                                : upstream_result::Failed;
}

bool succeeded(const traffic_request &Request) {
  return Request.Call.Status < FirstFailureStatus;
}

bool answerIsValid(const traffic_request &Request) {
  // A failure cannot continue a stream that has begun.
  const bool Fits = succeeded(Request) ? Request.Call.Facts.SignedSuccess
                                       : !Request.Exchange->answered();
  return !Request.Call.Oversized && Fits;
}

router::attempt_result resultOf(traffic_request &Request,
                                net::call_outcome Outcome) {
  const instant Now = monotonic_clock::now();
  router::attempt_result Result;
  Result.Outcome = Outcome;
  Result.Status = Request.Call.Status;
  Result.RejectedBeforeExecution = Request.Call.Facts.NotRun;
  Result.ResponseValid = answerIsValid(Request);
  Result.ResponseStarted = Request.Exchange->answered();
  Result.Idempotent = Request.mayRepeat();
  Result.Resumable = Request.Route->Resumable && Request.Events.resumable() &&
                     Request.Events.lastId().has_value();
  Result.HasAttemptsLeft = Request.Attempts < Request.Route->MaxAttempts;
  Result.HasTimeLeft =
      Now < Request.Deadline && router::holdsLease(Request.Shard.Context, Now);
  Result.HasRetryBudget = true;
  const auto Step = router::decideRetryAction(Result).Action;
  if (Step == retry_action::Retry || Step == retry_action::Resume) {
    Result.HasRetryBudget = Request.Shard.Retries.tryWithdraw(Request.Service);
  }
  return Result;
}

/// Sends whole events of a stream to the caller.
void passOn(traffic_request &Request, std::string Events) {
  if (Events.empty()) {
    return;
  }
  if (!Request.Exchange->answered()) {
    // Headers and signature stay those of the first upstream.
    Request.Exchange->beginStream(Request.Call.Status,
                                  answerHeaders(Request.Call.Headers));
  }
  Request.Exchange->writeChunk(std::move(Events));
}

/// Looks for another upstream after a call that has failed. What a first call
/// had to be sent by no longer holds: a late answer is better than none.
void callAgain(const traffic_request_ptr &Request) {
  const instant Now = monotonic_clock::now();
  Request->Events.restart();
  Request->DispatchDeadline =
      std::max(Request->DispatchDeadline, Now + (Request->Deadline - Now) / 2);
  Request->ResponseTarget = instant::max();
  enqueueRequest(Request);
}

void onCallDone(const traffic_request_ptr &Request, net::call_outcome Outcome) {
  auto &Shard = Request->Shard;
  const auto Health = healthOf(*Request, Outcome);
  if (Request->Call.Facts.Load) {
    Shard.Slots.onLoadReport(Request->Service, Request->Call.Upstream,
                             *Request->Call.Facts.Load);
  }
  Shard.Slots.end(Request->Id, Health);
  if (Request->Phase == request_phase::Finished) {
    return; // aborted
  }
  if (Request->CallerDisconnected) {
    endAbandoned(Request);
    return;
  }
  const auto Result = resultOf(*Request, Outcome);
  const auto Decision = router::decideRetryAction(Result);
  Request->MayHaveExecuted =
      Request->MayHaveExecuted || !router::isProvenNotExecuted(Result);
  if (Decision.Action == retry_action::ForwardResponse) {
    if (Request->isStream() && succeeded(*Request)) {
      passOn(*Request, Request->Events.takeRest());
    }
    answerTraffic(Request);
    return;
  }
  logEvent(log_level::Info, "call_failed",
           {{"request", Request->Caller.Id},
            {"upstream", Request->Call.Instance},
            {"outcome", nameOf(Outcome)},
            {"status", Request->Call.Status},
            {"not_run", Request->Call.Facts.NotRun},
            {"next", nameOf(Decision.Action)},
            {"error", nameOf(Decision.Error)}});
  if (Decision.Action == retry_action::Retry ||
      Decision.Action == retry_action::Resume) {
    Shard.Context.Metrics.countRetry();
    Request->Excluded.push_back(Request->Call.Upstream);
    callAgain(Request);
    return;
  }
  failTraffic(Request, Decision.Error, Decision.Outcome);
}

void onCallHeaders(const traffic_request_ptr &Request, int Status,
                   const net::http_headers &Headers) {
  Request->Call.Status = Status;
  Request->Call.Headers = Headers;
  Request->Call.Facts = Request->Shard.Codec.ParseResponseHeaders(
      Status, Headers, monotonic_clock::now());
}

void onCallBody(const traffic_request_ptr &Request, std::string_view Bytes) {
  auto &Call = Request->Call;
  if (!Call.FirstByte) {
    Call.FirstByte = true;
    Request->Shard.Context.Metrics.observe(
        router::latency_stage::FirstByte, monotonic_clock::now() - Call.SentAt);
    Request->Shard.Slots.onFirstByte(Request->Id);
  }
  if (Request->isStream() && succeeded(*Request) && answerIsValid(*Request)) {
    passOn(*Request, Request->Events.feed(Bytes));
    return;
  }
  if (Call.Body.size() + Bytes.size() > MostAnswerBytes) {
    Call.Oversized = true;
    Request->Shard.Shard.Client.cancel(Call.Call);
    return;
  }
  Call.Body += Bytes;
}

const store::instance_entry *findInstance(const store::traffic_view &Traffic,
                                          std::string_view Service,
                                          upstream_id Upstream) {
  const auto &List = Traffic.instances(Service);
  const auto It =
      std::find_if(List.begin(), List.end(),
                   [&](const auto &Entry) { return Entry.Id == Upstream; });
  return It == List.end() ? nullptr : &*It;
}

net::http_call makeCall(const traffic_request_ptr &Request,
                        const store::instance_entry &Instance, instant Now) {
  net::http_call Call;
  Call.Method = Request->Method;
  Call.Url = "http://" + Instance.Spec->Address + Request->Target;
  Call.Headers = Request->Caller.ForwardedHeaders;
  Call.Body = Request->Body;
  Call.Timeout = std::max<duration>(Request->Deadline - Now, 1ms);
  Request->Shard.Codec.AddUpstreamHeaders({Instance.Name, Request->teamName(),
                                           Call.Timeout,
                                           Request->Events.lastId()},
                                          Call.Headers);
  Call.IsAnswer = [Request](const net::http_headers &Headers) {
    return Request->Shard.Codec.IsResponseTo(Headers, Request->Caller.Id);
  };
  Call.OnHeaders = [Request](int Status, const net::http_headers &Headers) {
    onCallHeaders(Request, Status, Headers);
  };
  Call.OnBody = [Request](std::string_view Bytes) {
    onCallBody(Request, Bytes);
  };
  Call.OnDone = [Request](net::call_outcome Outcome) {
    onCallDone(Request, Outcome);
  };
  return Call;
}

/// Gives a slot back that the request does not use.
void returnSlot(const traffic_request &Request) {
  Request.Shard.Slots.end(Request.Id, upstream_result::Ignored);
}

void callUpstream(const traffic_request_ptr &Request, upstream_id Upstream) {
  auto &Shard = Request->Shard;
  const instant Now = monotonic_clock::now();
  if (!router::holdsLease(Shard.Context, Now)) {
    returnSlot(*Request);
    failTraffic(Request, request_error::NotServing, execution_outcome::NotRun);
    return;
  }
  // The newest view knows instances that came or left since the request
  // arrived.
  const auto View = Shard.Context.Routing.read(
      [](const router::routing_state &State) { return State.View; });
  const auto *Instance =
      findInstance(View->traffic(), Request->Service, Upstream);
  if (Instance == nullptr || !Instance->Usable) {
    returnSlot(*Request);
    Request->Excluded.push_back(Upstream);
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Calling;
  if (++Request->Attempts == 1) {
    Shard.Retries.deposit(Request->Service);
  }
  Request->Call = instance_call{};
  Request->Call.Upstream = Upstream;
  Request->Call.Instance = Instance->Name;
  Request->Call.SentAt = Now;
  Shard.Context.Metrics.observe(router::latency_stage::Waiting,
                                Now - Request->Arrived);
  logRoutine("route", {{"request", Request->Caller.Id},
                       {"team", Request->teamName()},
                       {"route", Request->Route->Name},
                       {"upstream", Instance->Name},
                       {"failure_domain", Instance->Spec->FailureDomain},
                       {"revision", number(View->currentRevision())},
                       {"attempt", Request->Attempts},
                       {"waited_us", toMicros(Now - Request->Arrived)}});
  Request->Call.Call =
      Shard.Shard.Client.start(makeCall(Request, *Instance, Now));
}

void onSlot(const traffic_request_ptr &Request, upstream_id Upstream) {
  if (Request->CallerDisconnected || Request->Phase != request_phase::Waiting) {
    returnSlot(*Request);
    return;
  }
  callUpstream(Request, Upstream);
}

void enqueueRequest(const traffic_request_ptr &Request) {
  auto &Shard = Request->Shard;
  Request->Phase = request_phase::Waiting;
  if (!Shard.Slots.anyUsable(Request->Service, Request->Excluded)) {
    failTraffic(Request, request_error::NoUpstream, execution_outcome::NotRun);
    return;
  }
  slot_wish Wish;
  Wish.RequestId = Request->Id;
  Wish.Service = Request->Service;
  Wish.Team = Request->teamName();
  Wish.Cost = Request->Cost;
  Wish.Prompt = Request->Prompt;
  Wish.Excluded = Request->Excluded;
  Wish.DispatchDeadline = Request->DispatchDeadline;
  Wish.ResponseTarget = Request->ResponseTarget;
  slot_callbacks Callbacks;
  Callbacks.OnSend = [Request](upstream_id Upstream) {
    onSlot(Request, Upstream);
  };
  Callbacks.OnRefused = [Request](duration RetryAfter) {
    Request->RetryAfter = RetryAfter;
    failTraffic(Request, request_error::Overloaded, execution_outcome::NotRun);
  };
  Shard.Slots.request(std::move(Wish), std::move(Callbacks));
}

void onCallerGone(const traffic_request_ptr &Request) {
  Request->CallerDisconnected = true;
  if (Request->Phase == request_phase::Waiting) {
    Request->Shard.Slots.end(Request->Id, upstream_result::Ignored);
    endAbandoned(Request);
  } else if (Request->Phase == request_phase::Calling &&
             Request->Route->Kind != store::request_kind::NonIdempotent) {
    Request->Shard.Shard.Client.cancel(Request->Call.Call);
  }
}

void track(const traffic_request_ptr &Request) {
  auto &Shard = Request->Shard;
  Shard.Requests.push_back(Request);
  if (Shard.Requests.size() < Shard.NextCleanup) {
    return;
  }
  std::erase_if(Shard.Requests,
                [](const auto &Weak) { return Weak.expired(); });
  Shard.NextCleanup = 2 * Shard.Requests.size() + 64;
}

} // namespace

void handleRequest(traffic_shard &Shard,
                   const std::shared_ptr<net::http_exchange> &Exchange) {
  const auto Caller = Shard.Codec.ParseRequest(Exchange->request());
  Shard.Slots.follow();
  Shard.Retries.setRouters(Shard.Slots.routers());
  const auto Admitted = admitTraffic(Shard, Exchange, Caller);
  if (Admitted.has_error()) {
    Shard.Context.Metrics.countError(Admitted.error());
    logEvent(log_level::Info, "request_refused",
             {{"request", Caller.Id}, {"error", nameOf(Admitted.error())}});
    Exchange->respond(
        refusalAnswer(Admitted.error(), execution_outcome::NotRun, Caller.Id));
    return;
  }
  const auto &Request = Admitted.value();
  track(Request);
  Exchange->onDisconnect([Weak = std::weak_ptr<traffic_request>(Request)] {
    if (const auto Strong = Weak.lock()) {
      onCallerGone(Strong);
    }
  });
  enqueueRequest(Request);
}

void abortRequests(traffic_shard &Shard) {
  for (const auto &Weak : std::exchange(Shard.Requests, {})) {
    const auto Request = Weak.lock();
    if (!Request || Request->Phase == request_phase::Finished) {
      continue;
    }
    if (Request->Phase == request_phase::Waiting) {
      Shard.Slots.end(Request->Id, upstream_result::Ignored);
      failTraffic(Request, request_error::ShuttingDown,
                  execution_outcome::NotRun);
    } else {
      Shard.Shard.Client.cancel(Request->Call.Call);
      failTraffic(Request, request_error::ShuttingDown,
                  execution_outcome::Unknown);
    }
  }
}

} // namespace arbutus::traffic
