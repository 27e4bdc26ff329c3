#include "traffic/traffic_flow.h"

#include "base/log.h"
#include "router/retry_policy.h"
#include "traffic/attempt_outcome.h"
#include "traffic/crash_detection.h"
#include "traffic/hedging.h"
#include "traffic/traffic_admission.h"
#include "traffic/traffic_end.h"
#include "traffic/upstream_selection.h"
#include "traffic/version_routing.h"

#include <algorithm>

namespace arbutus::traffic {

namespace {

using balance::upstream_result;
using router::execution_outcome;
using router::request_error;
using router::request_phase;
using router::retry_action;

/// Maximum size of a buffered response. A router with 88 MB buffers several.
constexpr std::size_t MaxResponseBytes = std::size_t{4} << 20U;

void enqueueRequest(const traffic_request_ptr &Request);
void onCallerDisconnected(const traffic_request_ptr &Request);

/// Sends complete events of a stream to the caller.
void forwardEvents(traffic_request &Request, std::string Events) {
  if (Events.empty()) {
    return;
  }
  Request.Attempt.FirstEvent = true;
  if (!Request.Exchange->answered()) {
    // Headers and signature are those of the first upstream, also after a
    // resume.
    Request.Exchange->beginStream(Request.Attempt.Status,
                                  responseHeaders(Request.Attempt.Headers));
  }
  Request.Exchange->writeChunk(std::move(Events));
}

/// Requests another slot after a failed attempt. The dispatch deadline of the
/// first attempt no longer applies: a late response is better than none.
void retryRequest(const traffic_request_ptr &Request) {
  const instant Now = monotonic_clock::now();
  Request->Events.discardPartial();
  Request->DispatchDeadline =
      std::max(Request->DispatchDeadline, Now + (Request->Deadline - Now) / 2);
  Request->ResponseTarget = instant::max();
  enqueueRequest(Request);
}

/// Requests another slot for a request that was not sent after all.
void requeueWithheld(const traffic_request_ptr &Request) {
  Request->Shard.Slots.release(Request->Id, upstream_result::Ignored);
  recordVersionWithheld(*Request);
  if (Request->Phase == request_phase::Finished) {
    return; // aborted
  }
  if (Request->CallerDisconnected) {
    completeDisconnected(Request);
    return;
  }
  --Request->Attempts;
  Request->Excluded.push_back(Request->Attempt.Upstream);
  enqueueRequest(Request);
}

void onCallDone(const traffic_request_ptr &Request, net::call_outcome Outcome) {
  if (Request->Attempt.Withheld) {
    requeueWithheld(Request);
    return;
  }
  if (endsInsideEvent(*Request, Outcome)) {
    Outcome = net::call_outcome::AnswerBroken;
  }
  auto &Shard = Request->Shard;
  Shard.Context.Metrics.countStreamWork(Request->Events.takeWork());
  const auto UpstreamResult = upstreamResultOf(*Request, Outcome);
  if (Request->Attempt.ResponseInfo.Load) {
    Shard.Slots.onLoadReport(Request->Pool, Request->Attempt.Upstream,
                             *Request->Attempt.ResponseInfo.Load);
  }
  Shard.Slots.release(Request->Id, UpstreamResult);
  recordVersionOutcome(*Request, Outcome);
  if (Outcome == net::call_outcome::Complete && isSuccess(*Request)) {
    recordHedgeTime(*Request, monotonic_clock::now() - Request->Attempt.SentAt);
  }
  if (Request->Phase == request_phase::Finished) {
    return; // aborted
  }
  const bool SuspectedOfCrash = recordCrashEvidence(*Request, Outcome);
  if (Request->CallerDisconnected) {
    completeDisconnected(Request);
    return;
  }
  const auto Result = makeAttemptResult(*Request, Outcome, SuspectedOfCrash);
  const auto Decision = router::decideRetryAction(Result);
  Request->MayHaveExecuted =
      Request->MayHaveExecuted || !router::isProvenNotExecuted(Result);
  if (Decision.Action == retry_action::ForwardResponse) {
    if (Request->isStream() && isSuccess(*Request)) {
      forwardEvents(*Request, Request->Events.flush());
    }
    completeRequest(Request);
    return;
  }
  logEvent(log_level::Info, "call_failed",
           {{"request", Request->Caller.Id},
            {"upstream", Request->Attempt.Instance},
            {"outcome", nameOf(Outcome)},
            {"status", Request->Attempt.Status},
            {"not_run", Request->Attempt.ResponseInfo.NotRun},
            {"next", nameOf(Decision.Action)},
            {"error", nameOf(Decision.Error)}});
  if (Decision.Action == retry_action::Retry ||
      Decision.Action == retry_action::Resume) {
    Shard.Context.Metrics.countRetry();
    Request->Excluded.push_back(Request->Attempt.Upstream);
    retryRequest(Request);
    return;
  }
  failRequest(Request, Decision.Error, Decision.Outcome);
}

void onCallHeaders(const traffic_request_ptr &Request, int Status,
                   const net::http_headers &Headers) {
  const instant Now = monotonic_clock::now();
  Request->Attempt.Status = Status;
  Request->Attempt.Headers = Headers;
  Request->Attempt.ResponseInfo =
      Request->Shard.Codec.ParseResponseHeaders(Status, Headers, Now);
  constexpr std::string_view EventStreamType = "text/event-stream";
  Request->Attempt.IsEventStream =
      net::headerOf(Headers, "Content-Type").starts_with(EventStreamType);
  recordRestrictions(*Request, Now);
  recordRateLimit(*Request);
  recordUpstreamAnswers(*Request, Now);
}

void onCallBody(const traffic_request_ptr &Request, std::string_view Bytes) {
  auto &Attempt = Request->Attempt;
  if (!Attempt.FirstByte) {
    Attempt.FirstByte = true;
    Request->Shard.Context.Metrics.observe(router::latency_stage::FirstByte,
                                           monotonic_clock::now() -
                                               Attempt.SentAt);
    Request->Shard.Slots.onFirstByte(Request->Id);
  }
  if (Attempt.Oversized) {
    return;
  }
  if (Request->isStream() && isSuccess(*Request) && isResponseValid(*Request)) {
    forwardEvents(*Request, Request->Events.append(Bytes));
    Attempt.Oversized = Request->Events.isTooLong();
    if (Request->Exchange->unsentBytes() > net::MaxUnsentBytes) {
      Request->Exchange->abort();
      onCallerDisconnected(Request);
    }
  } else {
    Attempt.Oversized = !Attempt.Body.append(Request->Shard.Shard.Answers,
                                             Bytes, MaxResponseBytes);
  }
  if (Attempt.Oversized) {
    Attempt.Body.clear();
    Request->Shard.Shard.Client.cancel(Attempt.Call,
                                       net::call_outcome::AnswerBroken);
  }
}

/// True if the list of instances still has the attempt's upstream in use.
bool isUpstreamInUse(const traffic_request &Request) {
  const auto View = currentView(Request.Shard);
  if (View == Request.Attempt.View) {
    return true; // nothing has changed since the slot was granted
  }
  const auto *Instance =
      findInstance(View->traffic(), Request.Pool, Request.Attempt.Upstream);
  return Instance != nullptr && Instance->Usable &&
         !View->traffic().isQuarantined(Request.SharedSegments);
}

/// True if the request may still be written to its upstream. Connecting takes
/// time, in which the lease may end or the upstream may begin to drain.
bool mayWrite(traffic_request &Request) {
  const instant Now = monotonic_clock::now();
  const auto &Shard = Request.Shard;
  Request.Attempt.Withheld =
      !router::holdsLease(Shard.Context, Now) || !isUpstreamInUse(Request) ||
      Shard.Restrictions.isRestricted(upstreamRunOf(Request.Attempt), Now);
  return !Request.Attempt.Withheld;
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
  Call.MayWrite = [Request] { return mayWrite(*Request); };
  Call.IsAnswer = [Request](const net::http_headers &Headers) {
    return Request->Shard.Codec.IsResponseTo(Headers, Request->Caller.Id);
  };
  Call.OnHeaders = [Request](int Status, const net::http_headers &Headers) {
    onCallHeaders(Request, Status, Headers);
  };
  Call.OnBody = [Request](std::string_view Bytes) {
    onCallBody(Request, Bytes);
  };
  Call.OnUnreadable = [Request] { Request->Attempt.Unreadable = true; };
  Call.OnDone = [Request](net::call_outcome Outcome) {
    onCallDone(Request, Outcome);
  };
  return Call;
}

/// Releases a slot that the request does not use.
void releaseUnusedSlot(const traffic_request &Request) {
  Request.Shard.Slots.release(Request.Id, upstream_result::Ignored);
}

void callUpstream(const traffic_request_ptr &Request, upstream_id Upstream) {
  auto &Shard = Request->Shard;
  const instant Now = monotonic_clock::now();
  if (!router::holdsLease(Shard.Context, Now)) {
    releaseUnusedSlot(*Request);
    failRequest(Request, request_error::NotServing, execution_outcome::NotRun);
    return;
  }
  const auto View = currentView(Shard);
  const auto *Instance = findInstance(View->traffic(), Request->Pool, Upstream);
  if (View->traffic().isQuarantined(Request->SharedSegments)) {
    releaseUnusedSlot(*Request);
    failRequest(Request, request_error::PromptQuarantined,
                execution_outcome::NotRun);
    return;
  }
  if (Instance == nullptr || !isSendable(Shard, *Instance, Now)) {
    releaseUnusedSlot(*Request);
    Request->Excluded.push_back(Upstream);
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Calling;
  if (++Request->Attempts == 1) {
    Shard.Retries.deposit(Request->Service);
  }
  Request->Attempt = upstream_attempt{};
  Request->Attempt.Upstream = Upstream;
  Request->Attempt.Instance = Instance->Name;
  Request->Attempt.InstanceStartedMs = Instance->Spec->StartedMs;
  Request->Attempt.View = View;
  Request->Attempt.SentAt = Now;
  Request->Attempt.Version = Instance->Spec->Version;
  recordVersionSent(*Request);
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
  Request->Attempt.Call =
      Shard.Shard.Client.start(makeCall(Request, *Instance, Now));
}

void onSlotGranted(const traffic_request_ptr &Request, upstream_id Upstream) {
  if (Request->CallerDisconnected || Request->Phase != request_phase::Waiting) {
    releaseUnusedSlot(*Request);
    return;
  }
  callUpstream(Request, Upstream);
}

/// Remembers why the request got no slot, for its last log line.
void recordRefusal(traffic_request &Request, const slot_refusal &Refusal) {
  const auto View = currentView(Request.Shard);
  const auto *Preferred =
      findInstance(View->traffic(), Request.Pool, Refusal.Preferred);
  Request.RetryAfter = Refusal.RetryAfter;
  Request.RefusalReason = nameOf(Refusal.Reason);
  Request.QueuedFor = Preferred == nullptr ? "" : Preferred->Name;
}

void enqueueRequest(const traffic_request_ptr &Request) {
  auto &Shard = Request->Shard;
  Request->Phase = request_phase::Waiting;
  const instant Now = monotonic_clock::now();
  Shard.Slots.refreshRouting();
  choosePool(*Request);
  auto Excluded = excludedUpstreams(*Request, Now);
  if (!Shard.Slots.hasUsableUpstream(Request->Pool, Excluded.Ids)) {
    if (leavePool(*Request, Now)) {
      enqueueRequest(Request);
      return;
    }
    if (Excluded.FirstUsable != instant::max()) {
      Request->RetryAfter = Excluded.FirstUsable - Now;
    }
    failRequest(Request, request_error::NoUpstream, execution_outcome::NotRun);
    return;
  }
  slot_request SlotRequest;
  SlotRequest.RequestId = Request->Id;
  SlotRequest.Service = Request->Pool;
  SlotRequest.Team = Request->teamName();
  SlotRequest.Cost = Request->Cost;
  SlotRequest.Prompt = Request->Prompt;
  SlotRequest.Excluded = std::move(Excluded.Ids);
  SlotRequest.DispatchDeadline = dispatchDeadline(*Request, Now);
  SlotRequest.ResponseTarget = Request->ResponseTarget;
  slot_callbacks Callbacks;
  Callbacks.OnGranted = [Request](upstream_id Upstream) {
    onSlotGranted(Request, Upstream);
  };
  Callbacks.OnRefused = [Request](const slot_refusal &Refusal) {
    if (leavePool(*Request, monotonic_clock::now())) {
      enqueueRequest(Request);
      return;
    }
    recordRefusal(*Request, Refusal);
    failRequest(Request, request_error::Overloaded, execution_outcome::NotRun);
  };
  Shard.Slots.acquire(std::move(SlotRequest), std::move(Callbacks));
}

void onCallerDisconnected(const traffic_request_ptr &Request) {
  Request->CallerDisconnected = true;
  if (Request->Phase == request_phase::Waiting) {
    Request->Shard.Slots.release(Request->Id, upstream_result::Ignored);
    completeDisconnected(Request);
  } else if (Request->Phase == request_phase::Calling &&
             Request->Route->Kind != store::request_kind::NonIdempotent) {
    Request->Shard.Shard.Client.cancel(Request->Attempt.Call);
  }
}

void trackRequest(const traffic_request_ptr &Request) {
  auto &Shard = Request->Shard;
  Shard.Requests.push_back(Request);
  if (Shard.Requests.size() < Shard.CleanupThreshold) {
    return;
  }
  std::erase_if(Shard.Requests,
                [](const auto &Weak) { return Weak.expired(); });
  Shard.CleanupThreshold = 2 * Shard.Requests.size() + 64;
}

void startRequest(const traffic_request_ptr &Request) {
  trackRequest(Request);
  Request->Exchange->onDisconnect(
      [Weak = std::weak_ptr<traffic_request>(Request)] {
        if (const auto Strong = Weak.lock()) {
          onCallerDisconnected(Strong);
        }
      });
  enqueueRequest(Request);
}

} // namespace

void handleRequest(traffic_shard &Shard,
                   const std::shared_ptr<net::http_exchange> &Exchange) {
  const auto Caller = Shard.Codec.ParseRequest(Exchange->request());
  Shard.Slots.refreshRouting();
  Shard.Retries.setRouters(Shard.Slots.liveRouterCount());
  const auto Admitted = admitRequest(Shard, Exchange, Caller);
  if (Admitted.has_error()) {
    Shard.Context.Metrics.countError(Admitted.error());
    logEvent(log_level::Info, "request_refused",
             {{"request", Caller.Id}, {"error", nameOf(Admitted.error())}});
    Exchange->respond(
        errorResponse(Admitted.error(), execution_outcome::NotRun, Caller.Id));
    return;
  }
  const auto &Request = Admitted.value();
  if (mayHedge(*Request)) {
    prepareHedge(Request, startRequest);
  }
  startRequest(Request);
}

void abortRequests(traffic_shard &Shard) {
  for (const auto &Weak : std::exchange(Shard.Requests, {})) {
    const auto Request = Weak.lock();
    if (!Request || Request->Phase == request_phase::Finished) {
      continue;
    }
    if (Request->Phase == request_phase::Waiting) {
      Shard.Slots.release(Request->Id, upstream_result::Ignored);
      failRequest(Request, request_error::ShuttingDown,
                  execution_outcome::NotRun);
    } else {
      Shard.Shard.Client.cancel(Request->Attempt.Call);
      failRequest(Request, request_error::ShuttingDown,
                  execution_outcome::Unknown);
    }
  }
}

} // namespace arbutus::traffic
