#include "traffic/traffic_flow.h"

#include "base/digest.h"
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

/// Maximum size of a buffered response. A router with 88 MB buffers several.
constexpr std::size_t MaxResponseBytes = std::size_t{4} << 20U;
constexpr int MinNonSuccessStatus = 300;
constexpr int MinServerErrorStatus = 500;

void enqueueRequest(const traffic_request_ptr &Request);
void onCallerDisconnected(const traffic_request_ptr &Request);

/// Classifies the outcome of an attempt for the scheduler.
upstream_result upstreamResultOf(const traffic_request &Request,
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
  if (Request.Attempt.ResponseInfo.NotRun) {
    return upstream_result::Overloaded;
  }
  return Request.Attempt.Status < MinServerErrorStatus
             ? upstream_result::Succeeded
             : upstream_result::Failed;
}

bool isSuccess(const traffic_request &Request) {
  return Request.Attempt.Status < MinNonSuccessStatus;
}

bool isResponseValid(const traffic_request &Request) {
  // An error response cannot continue a stream that has begun, and one that
  // does not name the request may belong to another.
  const bool Acceptable = isSuccess(Request)
                              ? Request.Attempt.ResponseInfo.SignedSuccess
                              : Request.Attempt.ResponseInfo.Identified &&
                                    !Request.Exchange->answered();
  return !Request.Attempt.Oversized && Acceptable;
}

router::attempt_result attemptResultOf(traffic_request &Request,
                                       net::call_outcome Outcome,
                                       bool SuspectedOfCrash) {
  const instant Now = monotonic_clock::now();
  router::attempt_result Result;
  Result.Outcome = Outcome;
  Result.Status = Request.Attempt.Status;
  Result.RejectedBeforeExecution = Request.Attempt.ResponseInfo.NotRun;
  Result.ResponseValid = isResponseValid(Request);
  Result.ResponseStarted = Request.Exchange->answered();
  Result.Idempotent = Request.isRetryable();
  Result.Resumable = Request.Route->Resumable && Request.Events.resumable() &&
                     Request.Events.lastId().has_value();
  Result.HasAttemptsLeft = Request.Attempts < Request.Route->MaxAttempts;
  Result.HasTimeLeft =
      Now < Request.Deadline && router::holdsLease(Request.Shard.Context, Now);
  Result.SuspectedOfCrash = SuspectedOfCrash;
  Result.HasRetryBudget = true;
  const auto Step = router::decideRetryAction(Result).Action;
  if (Step == retry_action::Retry || Step == retry_action::Resume) {
    Result.HasRetryBudget = Request.Shard.Retries.tryWithdraw(Request.Service);
  }
  return Result;
}

/// Names of segments as the store has them, separated by commas.
std::string segmentNames(const std::vector<router::segment_hash> &Segments) {
  std::string Names;
  for (const auto Segment : Segments) {
    Names += Names.empty() ? "" : ",";
    Names += store::quarantineName(number(Segment));
  }
  return Names;
}

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

/// True if the upstream was lost before it answered: its connection ended
/// without a whole answer, or without a whole event of a stream.
bool isUpstreamLost(const traffic_request &Request, net::call_outcome Outcome) {
  const bool ConnectionEnded = Outcome == net::call_outcome::SentNoAnswer ||
                               Outcome == net::call_outcome::AnswerBroken;
  return ConnectionEnded && !Request.Attempt.FirstEvent &&
         !Request.Attempt.Oversized;
}

/// Identifies the run of the upstream in crash reports.
router::upstream_run_hash runHash(const upstream_attempt &Attempt) {
  return router::upstream_run_hash{
      hash64(Attempt.Instance, Attempt.InstanceStartedMs)};
}

/// Records what the end of an attempt says about the prompt: whether it may
/// crash upstreams. Returns true if the request must not get another one.
bool recordCrashEvidence(const traffic_request &Request,
                         net::call_outcome Outcome) {
  auto &Crashes = Request.Shard.Context.Crashes;
  const auto &Segments = Request.SharedSegments;
  const instant Now = monotonic_clock::now();
  if (Segments.empty()) {
    return false;
  }
  if (Outcome == net::call_outcome::Complete &&
      Request.Attempt.ResponseInfo.SignedSuccess) {
    Crashes.onAnswered(Segments, Now);
  }
  if (!isUpstreamLost(Request, Outcome)) {
    return false;
  }
  const bool Suspected = Crashes.isSuspected(Segments);
  Crashes.onUpstreamLost(runHash(Request.Attempt), Segments, Now);
  logEvent(log_level::Info, "upstream_lost",
           {{"request", Request.Caller.Id},
            {"upstream", Request.Attempt.Instance},
            {"segments", segmentNames(Segments)},
            {"suspected", Suspected}});
  return Suspected;
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

/// True if a stream ended inside an event, however its connection ended: a
/// response without a length also ends when its upstream is lost.
bool endsInsideEvent(const traffic_request &Request,
                     net::call_outcome Outcome) {
  return Outcome == net::call_outcome::Complete && isSuccess(Request) &&
         Request.Attempt.IsEventStream && Request.Events.hasPartialEvent();
}

/// Requests another slot for a request that was not sent after all.
void requeueWithheld(const traffic_request_ptr &Request) {
  Request->Shard.Slots.release(Request->Id, upstream_result::Ignored);
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
  const auto UpstreamResult = upstreamResultOf(*Request, Outcome);
  if (Request->Attempt.ResponseInfo.Load) {
    Shard.Slots.onLoadReport(Request->Service, Request->Attempt.Upstream,
                             *Request->Attempt.ResponseInfo.Load);
  }
  Shard.Slots.release(Request->Id, UpstreamResult);
  if (Request->Phase == request_phase::Finished) {
    return; // aborted
  }
  if (Request->CallerDisconnected) {
    completeDisconnected(Request);
    return;
  }
  const bool SuspectedOfCrash = recordCrashEvidence(*Request, Outcome);
  const auto Result = attemptResultOf(*Request, Outcome, SuspectedOfCrash);
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

/// Records what the response says about further requests to its upstream.
void recordRestrictions(const traffic_request &Request, instant Now) {
  const auto &Attempt = Request.Attempt;
  const auto &Info = Attempt.ResponseInfo;
  auto &Restrictions = Request.Shard.Restrictions;
  if (Info.RetryAfter) {
    Restrictions.pause(upstreamRunOf(Attempt), Now + *Info.RetryAfter, Now);
    logEvent(log_level::Info, "upstream_paused",
             {{"upstream", Attempt.Instance},
              {"request", Request.Caller.Id},
              {"pause_us", toMicros(*Info.RetryAfter)}});
  }
  if (Info.Leaving && Restrictions.markLeaving(upstreamRunOf(Attempt), Now)) {
    logEvent(log_level::Info, "upstream_leaving",
             {{"upstream", Attempt.Instance},
              {"request", Request.Caller.Id},
              {"status", Attempt.Status}});
  }
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
  } else if (Attempt.Body.size() + Bytes.size() > MaxResponseBytes) {
    Attempt.Oversized = true;
  } else {
    Attempt.Body += Bytes;
  }
  if (Attempt.Oversized) {
    Attempt.Body = {};
    Request->Shard.Shard.Client.cancel(Attempt.Call,
                                       net::call_outcome::AnswerBroken);
  }
}

/// The view in force, which includes instances that were added or removed since
/// a request arrived.
std::shared_ptr<const store::config_view>
currentView(const traffic_shard &Shard) {
  return Shard.Context.Routing.read(
      [](const router::routing_state &State) { return State.View; });
}

/// True if the instance may get a request now.
bool isSendable(const traffic_shard &Shard,
                const store::instance_entry &Instance, instant Now) {
  return Instance.Usable && !Shard.Restrictions.isRestricted(
                                {Instance.Name, Instance.Spec->StartedMs}, Now);
}

/// Upstreams that must not get a request.
struct excluded_upstreams {
  std::vector<upstream_id> Ids;
  /// When the first of those that want no requests may be used again.
  instant FirstUsable = instant::max();
};

/// Excludes the upstreams that have failed the request, and those of its
/// service that want no requests of this router.
excluded_upstreams excludedUpstreams(const traffic_request &Request,
                                     instant Now) {
  excluded_upstreams Excluded{Request.Excluded};
  const auto &Restrictions = Request.Shard.Restrictions;
  if (Restrictions.size() == 0) {
    return Excluded;
  }
  const auto View = currentView(Request.Shard);
  const auto &List = View->traffic().instances(Request.Service);
  Restrictions.visit(Now, [&](const upstream_run &Restricted, instant Until) {
    const auto Found = std::lower_bound(
        List.begin(), List.end(), Restricted.Name,
        [](const auto &Entry, auto Name) { return Entry.Name < Name; });
    if (Found != List.end() && Found->Name == Restricted.Name &&
        Found->Spec->StartedMs == Restricted.StartedMs) {
      Excluded.Ids.push_back(Found->Id);
      Excluded.FirstUsable = std::min(Excluded.FirstUsable, Until);
    }
  });
  return Excluded;
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

/// True if the request may still be written to its upstream. Connecting takes
/// time, in which the lease may end or the upstream may begin to drain.
bool mayWrite(traffic_request &Request) {
  const instant Now = monotonic_clock::now();
  const auto View = currentView(Request.Shard);
  const auto *Instance =
      findInstance(View->traffic(), Request.Service, Request.Attempt.Upstream);
  Request.Attempt.Withheld =
      !router::holdsLease(Request.Shard.Context, Now) || Instance == nullptr ||
      !isSendable(Request.Shard, *Instance, Now) ||
      View->traffic().isQuarantined(Request.SharedSegments);
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
  const auto *Instance =
      findInstance(View->traffic(), Request->Service, Upstream);
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
  Request->Attempt.SentAt = Now;
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

void enqueueRequest(const traffic_request_ptr &Request) {
  auto &Shard = Request->Shard;
  Request->Phase = request_phase::Waiting;
  const instant Now = monotonic_clock::now();
  Shard.Slots.refreshRouting();
  auto Excluded = excludedUpstreams(*Request, Now);
  if (!Shard.Slots.hasUsableUpstream(Request->Service, Excluded.Ids)) {
    if (Excluded.FirstUsable != instant::max()) {
      Request->RetryAfter = Excluded.FirstUsable - Now;
    }
    failRequest(Request, request_error::NoUpstream, execution_outcome::NotRun);
    return;
  }
  slot_request SlotRequest;
  SlotRequest.RequestId = Request->Id;
  SlotRequest.Service = Request->Service;
  SlotRequest.Team = Request->teamName();
  SlotRequest.Cost = Request->Cost;
  SlotRequest.Prompt = Request->Prompt;
  SlotRequest.Excluded = std::move(Excluded.Ids);
  SlotRequest.DispatchDeadline = Request->DispatchDeadline;
  SlotRequest.ResponseTarget = Request->ResponseTarget;
  slot_callbacks Callbacks;
  Callbacks.OnGranted = [Request](upstream_id Upstream) {
    onSlotGranted(Request, Upstream);
  };
  Callbacks.OnRefused = [Request](duration RetryAfter) {
    Request->RetryAfter = RetryAfter;
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
  trackRequest(Request);
  Exchange->onDisconnect([Weak = std::weak_ptr<traffic_request>(Request)] {
    if (const auto Strong = Weak.lock()) {
      onCallerDisconnected(Strong);
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
