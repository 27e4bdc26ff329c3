#include "router/request_flow.h"

#include "base/log.h"
#include "router/request_end.h"
#include "router/upstream_response.h"
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::router {

namespace {

/// Attempts of one request, the first included.
constexpr int MaxAttempts = 4;
/// Longest response that is buffered.
constexpr std::size_t MaxResponseBytes = std::size_t{16} << 20U;
/// Output tokens after which a running stream is charged again.
constexpr std::uint64_t TokensPerCharge = 16;

void enqueueRequest(const request_ptr &Request);
void sendToUpstream(const request_ptr &Request, upstream_id Upstream);
void failBeforeDispatch(const request_ptr &Request, request_error Error);
void onCallerDisconnected(const request_ptr &Request);

void logAttemptFailed(const routed_request &Request, net::call_outcome Outcome,
                      const retry_decision &Decision) {
  logEvent(log_level::Info, "call_failed",
           {{"request", Request.CallerRequestId},
            {"upstream", Request.Attempt.UpstreamName},
            {"outcome", nameOf(Outcome)},
            {"status", Request.Attempt.Status},
            {"next", nameOf(Decision.Action)},
            {"error", nameOf(Decision.Error)}});
}

/// Withdraws from the retry budget if the request is to be sent again.
attempt_result makeAttemptResult(routed_request &Request,
                                 net::call_outcome Outcome, bool Valid) {
  const instant Now = monotonic_clock::now();
  attempt_result Result;
  Result.Outcome = Outcome;
  Result.Status = Request.Attempt.Status;
  Result.RejectedBeforeExecution = Request.Attempt.RejectedBeforeExecution;
  Result.ResponseValid = Valid;
  Result.ResponseStarted = Request.Exchange->answered();
  Result.Idempotent = Request.Idempotent;
  Result.Resumable = Request.Validator.has_value();
  Result.HasAttemptsLeft = Request.Attempts < MaxAttempts;
  Result.HasTimeLeft =
      Now < Request.Deadline && holdsLease(Request.Context, Now);
  Result.HasRetryBudget = true;
  const auto Action = decideRetryAction(Result).Action;
  if (Action == retry_action::Retry || Action == retry_action::Resume) {
    Result.HasRetryBudget = Request.Context.Retries.tryWithdraw();
  }
  return Result;
}

void applyRetryDecision(const request_ptr &Request,
                        const retry_decision &Decision) {
  switch (Decision.Action) {
  case retry_action::ForwardResponse:
    forwardResponse(Request);
    return;
  case retry_action::Retry:
    Request->Context.Metrics.countRetry();
    Request->Excluded.push_back(Request->Attempt.Upstream);
    Request->Preferred.reset();
    Request->Validator.reset();
    enqueueRequest(Request);
    return;
  case retry_action::Resume:
    Request->Context.Metrics.countResume();
    // This upstream keeps the state of the stream.
    Request->Preferred = Request->Attempt.Upstream;
    Request->Validator->prepareResume();
    enqueueRequest(Request);
    return;
  case retry_action::Fail:
    failRequest(Request, Decision.Error, Decision.Outcome);
    return;
  case retry_action::AbortStream:
    endStreamWithError(Request, Decision.Error);
    return;
  }
}

void onAttemptDone(const request_ptr &Request, net::call_outcome Outcome) {
  const bool Valid = isResponseValid(*Request);
  // A stream is complete once its end mark was received, however the connection
  // ended.
  if (Request->Validator && Valid) {
    Outcome = net::call_outcome::Complete;
  }
  if (wasResponseRejected(*Request)) {
    Outcome = net::call_outcome::Complete;
  }
  // An engine that fails may end the HTTP response properly but without the end
  // mark.
  if (Outcome == net::call_outcome::Complete && Request->Validator &&
      Request->Validator->state() == stream_state::Open) {
    Outcome = net::call_outcome::AnswerBroken;
  }
  if (Request->Validator) {
    Request->Context.Metrics.countStreamWork(Request->Validator->takeWork());
  }
  const double Cost = computeCost(*Request);
  Request->Context.Pools.complete(Request->Service->Pool, Request->Id, Cost,
                                  toPoolOutcome(*Request, Outcome, Valid),
                                  Request->Attempt.FirstTokenTime);
  if (Request->Phase == request_phase::Finished) {
    return; // by `abortRequest`
  }
  if (Request->CallerDisconnected && Request->Idempotent) {
    Request->Phase = request_phase::Finished;
    logFinished(*Request, "caller_gone", 0);
    return;
  }
  if (Outcome == net::call_outcome::Complete && !Valid) {
    Request->Context.Metrics.countInvalidResponse();
  }
  const auto Result = makeAttemptResult(*Request, Outcome, Valid);
  const auto Decision = decideRetryAction(Result);
  Request->MayHaveExecuted =
      Request->MayHaveExecuted || !isProvenNotExecuted(Result);
  if (Decision.Action != retry_action::ForwardResponse) {
    logAttemptFailed(*Request, Outcome, Decision);
  }
  applyRetryDecision(Request, Decision);
}

void onResponseHeaders(const request_ptr &Request, int Status,
                       const net::http_headers &Headers) {
  Request->Attempt.Status = Status;
  Request->Attempt.Headers = Headers;
  Request->Attempt.RejectedBeforeExecution =
      net::headerOf(Headers, "X-Not-Run") == "true" && Status >= 400;
  const std::string_view Type = net::headerOf(Headers, "Content-Type");
  const bool EventStream = Type.substr(0, 17) == "text/event-stream";
  if (Request->IsModelRequest && Request->IsStreaming && Status == 200 &&
      EventStream && !Request->Validator) {
    Request->Validator.emplace(Request->UpstreamRequestId,
                               Request->CallerRequestId);
  }
}

void onStreamBytes(const request_ptr &Request, std::string_view Bytes) {
  const std::uint64_t Before = Request->Validator->tokens();
  std::string Forward = Request->Validator->feed(Bytes);
  if (!Forward.empty()) {
    if (!Request->Attempt.FirstTokenTime) {
      Request->Attempt.FirstTokenTime =
          monotonic_clock::now() - Request->Attempt.SentAt;
    }
    if (!Request->Exchange->answered()) {
      net::http_headers Headers = {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-cache"}};
      addTraceHeaders(*Request, Headers);
      Request->Exchange->beginStream(200, Headers);
    }
    Request->Exchange->writeChunk(std::move(Forward));
    if (Request->Exchange->unsentBytes() > net::MaxUnsentBytes) {
      Request->Exchange->abort();
      onCallerDisconnected(Request);
    }
  }
  const std::uint64_t After = Request->Validator->tokens();
  if (Before / TokensPerCharge != After / TokensPerCharge) {
    Request->Context.Pools.updateCost(Request->Service->Pool, Request->Id,
                                      computeCost(*Request));
  }
  if (Request->Validator->state() == stream_state::WrongId ||
      Request->Validator->state() == stream_state::Malformed) {
    Request->Context.Metrics.countInvalidResponse();
    Request->Shard.Client.cancel(Request->Attempt.CallId);
  }
}

void onResponseBody(const request_ptr &Request, std::string_view Bytes) {
  if (Request->Validator && Request->Attempt.Status == 200) {
    onStreamBytes(Request, Bytes);
    return;
  }
  if (!Request->Attempt.Body.append(Request->Shard.Answers, Bytes,
                                    MaxResponseBytes)) {
    Request->Attempt.Oversized = true;
    Request->Attempt.Body.clear();
    Request->Shard.Client.cancel(Request->Attempt.CallId);
  }
}

/// Returns the body of the next attempt. For a resumed stream it says after how
/// many tokens to continue.
std::string buildUpstreamBody(const routed_request &Request) {
  if (!Request.Validator || Request.Validator->tokens() == 0) {
    return Request.Body;
  }
  // The body was written here from a value that was read within limits.
  auto Json = nlohmann::json::parse(Request.Body);
  Json["resume_from"] = {{"request_id", Request.UpstreamRequestId},
                         {"tokens", Request.Validator->tokens()}};
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const store::pool_member *findPoolMember(const routed_request &Request,
                                         upstream_id Upstream) {
  const auto &Members = Request.Service->Members;
  const auto It =
      std::find_if(Members.begin(), Members.end(),
                   [&](const auto &Member) { return Member.Id == Upstream; });
  return It == Members.end() ? nullptr : &*It;
}

/// Releases the slot of a request that was dispatched but not sent.
void releaseSlot(const routed_request &Request) {
  Request.Context.Pools.complete(Request.Service->Pool, Request.Id, 0,
                                 pool::request_outcome::Cancelled,
                                 std::nullopt);
}

void onDispatched(const request_ptr &Request, upstream_id Upstream) {
  if (Request->CallerDisconnected || Request->Phase != request_phase::Waiting) {
    releaseSlot(*Request);
    if (Request->Phase == request_phase::Waiting) {
      Request->Phase = request_phase::Finished;
      completeOrWithdrawClaim(*Request, nullptr);
    }
    return;
  }
  sendToUpstream(Request, Upstream);
}

void sendToUpstream(const request_ptr &Request, upstream_id Upstream) {
  // The newest view includes upstreams that joined after the request arrived.
  auto View = Request->Context.Routing.read(
      [](const routing_state &State) { return State.View; });
  const auto *Service = View->serviceByPool(Request->Service->Pool);
  const auto *Team = View->teamById(Request->Team->Id);
  if (Service != nullptr && Team != nullptr) {
    Request->View = std::move(View);
    Request->Service = Service;
    Request->Team = Team;
  }
  const auto *Member = findPoolMember(*Request, Upstream);
  const instant Now = monotonic_clock::now();
  if (!holdsLease(Request->Context, Now)) {
    releaseSlot(*Request);
    failBeforeDispatch(Request, request_error::NotServing);
    return;
  }
  if (Member == nullptr || !Member->Usable) {
    // The upstream was removed after the slot was granted; try another one.
    releaseSlot(*Request);
    Request->Excluded.push_back(Upstream);
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Calling;
  if (++Request->Attempts == 1) {
    Request->Context.Retries.deposit();
  }
  Request->Attempt = upstream_attempt{};
  Request->Attempt.Upstream = Upstream;
  Request->Attempt.UpstreamName = Member->Name;
  Request->Attempt.SentAt = Now;
  logRoutine("route", {{"request", Request->CallerRequestId},
                       {"team", Request->Team->Name},
                       {"service", Request->Service->Name},
                       {"upstream", Member->Name},
                       {"failure_domain", Member->FailureDomain},
                       {"attempt", Request->Attempts},
                       {"waited_us", toMicros(Now - Request->Arrived)},
                       {"preferred",
                        Request->Preferred
                            ? (*Request->Preferred == Upstream ? "hit" : "miss")
                            : "none"}});
  net::http_call Call;
  Call.Method = Request->Method;
  Call.Url = "http://" + std::string(Member->Address) + Request->Target;
  Call.Headers = Request->Headers;
  Call.Body = std::make_shared<const std::string>(buildUpstreamBody(*Request));
  Call.FreshConnection = !Request->Idempotent;
  Call.Timeout = std::max<duration>(Request->Deadline - Now, 1ms);
  Call.OnHeaders = [Request](int Status, const net::http_headers &Headers) {
    onResponseHeaders(Request, Status, Headers);
  };
  Call.OnBody = [Request](std::string_view Bytes) {
    onResponseBody(Request, Bytes);
  };
  Call.OnDone = [Request](net::call_outcome Outcome) {
    onAttemptDone(Request, Outcome);
  };
  Request->Attempt.CallId = Request->Shard.Client.start(std::move(Call));
}

request_error toRequestError(pool::admission_error_code Code) noexcept {
  switch (Code) {
  case pool::admission_error_code::TeamQueueFull:
    return request_error::QueueFull;
  case pool::admission_error_code::DeadlinePassed:
    return request_error::DeadlineExceeded;
  case pool::admission_error_code::DuplicateRequest:
  case pool::admission_error_code::LeaseEnded:
    return request_error::NotServing;
  }
  return request_error::NotServing;
}

void failBeforeDispatch(const request_ptr &Request, request_error Error) {
  if (Request->Exchange->answered()) {
    endStreamWithError(Request, request_error::AnswerIncomplete);
    return;
  }
  failRequest(Request, Error, execution_outcome::NotRun);
}

bool hasUsableUpstream(const routed_request &Request) {
  return std::any_of(Request.Service->Members.begin(),
                     Request.Service->Members.end(),
                     [](const auto &Member) { return Member.Usable; });
}

void enqueueRequest(const request_ptr &Request) {
  Request->Phase = request_phase::Waiting;
  if (!hasUsableUpstream(*Request)) {
    failBeforeDispatch(Request, request_error::NoUpstream);
    return;
  }
  pool::pending_request Pending;
  Pending.RequestId = Request->Id;
  Pending.Team = Request->Team->Id;
  Pending.EstimatedCost = Request->EstimatedCost;
  Pending.Preferred = Request->Preferred;
  Pending.Excluded = Request->Excluded;
  Pending.Deadline = Request->Deadline;
  dispatch_callbacks Callbacks;
  Callbacks.OnDispatch = [Request](upstream_id Upstream) {
    onDispatched(Request, Upstream);
  };
  Callbacks.OnExpired = [Request] {
    failBeforeDispatch(Request, request_error::DeadlineExceeded);
  };
  const auto Queued = Request->Context.Pools.enqueue(
      Request->Service->Pool, std::move(Pending),
      Request->Team->Spec->QueueLength, Request->Shard, std::move(Callbacks));
  if (Queued.has_error()) {
    failBeforeDispatch(Request, toRequestError(Queued.error().Code));
  } else if (Queued.value()) {
    sendToUpstream(Request, *Queued.value());
  }
}

/// Returns the instant until which the request waits for its claim.
instant claimDeadline(const routed_request &Request) {
  // 5 s covers the election of a new leader; a longer wait is not worthwhile.
  constexpr duration MaxClaimWait = 5s;
  return std::min(Request.Deadline, Request.Arrived + MaxClaimWait);
}

void submitClaim(const request_ptr &Request);

/// Submits the claim again after a delay while an earlier request with the same
/// idempotency key is in progress. A caller that sends its request again after
/// the response was lost thus gets the recorded response.
void retryClaimAfterDelay(const request_ptr &Request) {
  constexpr duration ClaimRetryDelay = 200ms;
  if (monotonic_clock::now() + ClaimRetryDelay >= claimDeadline(*Request)) {
    failRequest(Request, request_error::ClaimInProgress,
                execution_outcome::Unknown);
    return;
  }
  const auto Timer = std::make_shared<asio::steady_timer>(Request->Shard.Io);
  Timer->expires_after(ClaimRetryDelay);
  Timer->async_wait([Request, Timer](const asio::error_code &Error) {
    if (Error || Request->Phase == request_phase::Finished) {
      return;
    }
    if (Request->CallerDisconnected) {
      Request->Phase = request_phase::Finished;
      logFinished(*Request, "caller_gone", 0);
      return;
    }
    submitClaim(Request);
  });
}

void onClaimOutcome(const request_ptr &Request,
                    const std::optional<store::command_outcome> &Outcome) {
  if (!Outcome) {
    failRequest(Request, request_error::ClaimsUnavailable,
                execution_outcome::NotRun);
    return;
  }
  switch (Outcome->Code) {
  case store::outcome_code::Granted:
    Request->ClaimHeld = true;
    if (Request->CallerDisconnected ||
        Request->Phase == request_phase::Finished) {
      Request->Phase = request_phase::Finished;
      completeOrWithdrawClaim(*Request, nullptr);
      return;
    }
    enqueueRequest(Request);
    return;
  case store::outcome_code::Completed:
    replayRecordedResponse(Request, *Outcome);
    return;
  case store::outcome_code::InProgress:
    retryClaimAfterDelay(Request);
    return;
  case store::outcome_code::Mismatch:
    failRequest(Request, request_error::ClaimMismatch,
                execution_outcome::NotRun);
    return;
  case store::outcome_code::Unknown:
    failRequest(Request, request_error::ClaimUnknown,
                execution_outcome::Unknown);
    return;
  default:
    failRequest(Request, request_error::ClaimsUnavailable,
                execution_outcome::NotRun);
    return;
  }
}

void submitClaim(const request_ptr &Request) {
  Request->Context.Claims.claim(
      *Request->Claim, claimDeadline(*Request), Request->Shard,
      [Request](const auto &Outcome) { onClaimOutcome(Request, Outcome); });
}

void onCallerDisconnected(const request_ptr &Request) {
  Request->CallerDisconnected = true;
  if (Request->Phase == request_phase::Waiting &&
      Request->Context.Pools.cancel(Request->Service->Pool, Request->Id)) {
    Request->Phase = request_phase::Finished;
    completeOrWithdrawClaim(*Request, nullptr);
    logFinished(*Request, "caller_gone", 0);
  } else if (Request->Phase == request_phase::Calling && Request->Idempotent) {
    // A non-idempotent request continues, so that its response is recorded.
    Request->Shard.Client.cancel(Request->Attempt.CallId);
  }
}

void abortRequest(const request_ptr &Request) {
  switch (Request->Phase) {
  case request_phase::Finished:
    return;
  case request_phase::Waiting:
    if (!Request->Context.Pools.cancel(Request->Service->Pool, Request->Id)) {
      // The pending dispatch then releases its slot.
      Request->CallerDisconnected = true;
    }
    failBeforeDispatch(Request, request_error::ShuttingDown);
    return;
  case request_phase::Admitted:
  case request_phase::Claiming:
    failRequest(Request, request_error::ShuttingDown,
                execution_outcome::NotRun);
    return;
  case request_phase::Calling:
    Request->Shard.Client.cancel(Request->Attempt.CallId);
    if (Request->Exchange->answered()) {
      endStreamWithError(Request, request_error::ShuttingDown);
    } else {
      failRequest(Request, request_error::ShuttingDown,
                  execution_outcome::Unknown);
    }
    return;
  }
}

/// Adds the request to the list of its shard. Ended requests are removed
/// whenever the list has doubled.
void registerRequest(const request_ptr &Request) {
  auto &Shard = Request->Shard;
  Shard.Requests.push_back(Request);
  if (Shard.Requests.size() < Shard.NextCleanup) {
    return;
  }
  const auto End =
      std::remove_if(Shard.Requests.begin(), Shard.Requests.end(),
                     [](const auto &Weak) { return Weak.expired(); });
  Shard.Requests.erase(End, Shard.Requests.end());
  Shard.NextCleanup = 2 * Shard.Requests.size() + 64;
}

} // namespace

void abortRequests(shard &Shard) {
  const auto Requests = std::exchange(Shard.Requests, {});
  for (const auto &Weak : Requests) {
    if (const auto Request = Weak.lock()) {
      abortRequest(Request);
    }
  }
}

void startRequest(const request_ptr &Request) {
  registerRequest(Request);
  Request->Exchange->onDisconnect(
      [Weak = std::weak_ptr<routed_request>(Request)] {
        if (const auto Strong = Weak.lock()) {
          onCallerDisconnected(Strong);
        }
      });
  if (!Request->Claim) {
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Claiming;
  submitClaim(Request);
}

} // namespace arbutus::router
