#include "router/request_flow.h"

#include "base/log.h"
#include "router/request_end.h"
#include "router/upstream_answer.h"
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::router {

namespace {

/// Calls of one request in all, the first included.
constexpr int MostAttempts = 4;
/// Longest answer that is buffered, in bytes.
constexpr std::size_t MostAnswerBytes = std::size_t{16} << 20U;
/// Output tokens between two charges while a stream runs.
constexpr std::uint64_t TokensPerCharge = 16;

void enqueueRequest(const request_ptr &Request);
void callUpstream(const request_ptr &Request, upstream_id Upstream);
void failWaiting(const request_ptr &Request, request_error Error);

void logCallFailed(const routed_request &Request, net::call_outcome Outcome,
                   const step_decision &Decision) {
  logEvent(log_level::Info, "call_failed",
           {{"request", Request.PublicId},
            {"upstream", Request.Call.UpstreamName},
            {"outcome", nameOf(Outcome)},
            {"status", Request.Call.Status},
            {"next", nameOf(Decision.Step)},
            {"error", nameOf(Decision.Error)}});
}

attempt_result resultOf(routed_request &Request, net::call_outcome Outcome,
                        bool Valid) {
  const instant Now = monotonic_clock::now();
  attempt_result Result;
  Result.Outcome = Outcome;
  Result.Status = Request.Call.Status;
  Result.RejectedBeforeExecution = Request.Call.NotRunHeader;
  Result.ResponseValid = Valid;
  Result.ResponseStarted = Request.Exchange->answered();
  Result.Idempotent = Request.Idempotent;
  Result.Resumable = Request.Check.has_value();
  Result.HasAttemptsLeft = Request.Attempts < MostAttempts;
  Result.HasTimeLeft =
      Now < Request.Deadline && holdsLease(Request.Context, Now);
  Result.HasRetryBudget = true;
  const auto Step = decideRetryAction(Result).Step;
  if (Step == retry_action::Retry || Step == retry_action::Resume) {
    Result.HasRetryBudget = Request.Context.Retries.tryWithdraw();
  }
  return Result;
}

void carryOut(const request_ptr &Request, const step_decision &Decision) {
  switch (Decision.Step) {
  case retry_action::ForwardResponse:
    answerRequest(Request);
    return;
  case retry_action::Retry:
    Request->Context.Metrics.countRetry();
    Request->Excluded.push_back(Request->Call.Upstream);
    Request->Preferred.reset();
    Request->Check.reset();
    enqueueRequest(Request);
    return;
  case retry_action::Resume:
    Request->Context.Metrics.countResume();
    Request->Preferred = Request->Call.Upstream; // it holds the stream's state
    Request->Check->restart();
    enqueueRequest(Request);
    return;
  case retry_action::Fail:
    failRequest(Request, Decision.Error, Decision.Outcome);
    return;
  case retry_action::EndIncomplete:
    endIncomplete(Request, Decision.Error);
    return;
  }
}

void onCallDone(const request_ptr &Request, net::call_outcome Outcome) {
  const bool Valid = answerIsValid(*Request);
  // A stream whose end mark was seen is whole, however its connection ended.
  if (Request->Check && Valid) {
    Outcome = net::call_outcome::Complete;
  }
  if (cancelledByCheck(*Request)) {
    Outcome = net::call_outcome::Complete;
  }
  // An engine that falls over ends its answer properly but without the mark.
  if (Outcome == net::call_outcome::Complete && Request->Check &&
      Request->Check->state() == stream_state::Open) {
    Outcome = net::call_outcome::AnswerBroken;
  }
  const double Cost = costOf(*Request);
  Request->Context.Pools.complete(Request->Service->Pool, Request->Id, Cost,
                                  poolOutcome(*Request, Outcome, Valid),
                                  Request->Call.FirstToken);
  if (Request->Phase == request_phase::Finished) {
    return; // aborted
  }
  if (Request->CallerDisconnected && Request->Idempotent) {
    Request->Phase = request_phase::Finished;
    logFinished(*Request, "caller_gone", 0);
    return;
  }
  if (Outcome == net::call_outcome::Complete && !Valid) {
    Request->Context.Metrics.countInvalidAnswer();
  }
  const auto Result = resultOf(*Request, Outcome, Valid);
  const auto Decision = decideRetryAction(Result);
  Request->MayHaveExecuted =
      Request->MayHaveExecuted || !isProvenNotExecuted(Result);
  if (Decision.Step != retry_action::ForwardResponse) {
    logCallFailed(*Request, Outcome, Decision);
  }
  carryOut(Request, Decision);
}

void onCallHeaders(const request_ptr &Request, int Status,
                   const net::http_headers &Headers) {
  Request->Call.Status = Status;
  Request->Call.Headers = Headers;
  Request->Call.NotRunHeader =
      net::headerOf(Headers, "X-Not-Run") == "true" && Status >= 400;
  const std::string_view Type = net::headerOf(Headers, "Content-Type");
  const bool EventStream = Type.substr(0, 17) == "text/event-stream";
  if (Request->Model && Request->Stream && Status == 200 && EventStream &&
      !Request->Check) {
    Request->Check.emplace(Request->UpstreamId, Request->PublicId);
  }
}

void onStreamBytes(const request_ptr &Request, std::string_view Bytes) {
  const std::uint64_t Before = Request->Check->tokens();
  std::string Forward = Request->Check->feed(Bytes);
  if (!Forward.empty()) {
    if (!Request->Call.FirstToken) {
      Request->Call.FirstToken = monotonic_clock::now() - Request->Call.SentAt;
    }
    if (!Request->Exchange->answered()) {
      net::http_headers Headers = {{"Content-Type", "text/event-stream"},
                                   {"Cache-Control", "no-cache"}};
      addTraceHeaders(*Request, Headers);
      Request->Exchange->beginStream(200, Headers);
    }
    Request->Exchange->writeChunk(std::move(Forward));
  }
  const std::uint64_t After = Request->Check->tokens();
  if (Before / TokensPerCharge != After / TokensPerCharge) {
    Request->Context.Pools.progress(Request->Service->Pool, Request->Id,
                                    costOf(*Request));
  }
  if (Request->Check->state() == stream_state::WrongId ||
      Request->Check->state() == stream_state::Malformed) {
    Request->Context.Metrics.countInvalidAnswer();
    Request->Shard.Client.cancel(Request->Call.Call);
  }
}

void onCallBody(const request_ptr &Request, std::string_view Bytes) {
  if (Request->Check && Request->Call.Status == 200) {
    onStreamBytes(Request, Bytes);
    return;
  }
  if (Request->Call.Body.size() + Bytes.size() > MostAnswerBytes) {
    Request->Call.Oversized = true;
    Request->Shard.Client.cancel(Request->Call.Call);
    return;
  }
  Request->Call.Body += Bytes;
}

/// Body of the next call; a resumed stream names where it stopped.
std::string bodyFor(const routed_request &Request) {
  if (!Request.Check || Request.Check->tokens() == 0) {
    return Request.Body;
  }
  auto Json = nlohmann::json::parse(Request.Body);
  Json["resume_from"] = {{"request_id", Request.UpstreamId},
                         {"tokens", Request.Check->tokens()}};
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const store::pool_member *memberOf(const routed_request &Request,
                                   upstream_id Upstream) {
  const auto &Members = Request.Service->Members;
  const auto It =
      std::find_if(Members.begin(), Members.end(),
                   [&](const auto &Member) { return Member.Id == Upstream; });
  return It == Members.end() ? nullptr : &*It;
}

/// Gives back a slot that the request cannot use.
void returnSlot(const routed_request &Request) {
  Request.Context.Pools.complete(Request.Service->Pool, Request.Id, 0,
                                 pool::request_outcome::Cancelled,
                                 std::nullopt);
}

void onDispatched(const request_ptr &Request, upstream_id Upstream) {
  if (Request->CallerDisconnected || Request->Phase != request_phase::Waiting) {
    returnSlot(*Request);
    if (Request->Phase == request_phase::Waiting) {
      Request->Phase = request_phase::Finished;
      settleClaim(*Request, nullptr);
    }
    return;
  }
  callUpstream(Request, Upstream);
}

void callUpstream(const request_ptr &Request, upstream_id Upstream) {
  // The newest view knows upstreams that joined after the request arrived.
  auto View = Request->Context.Routing.read(
      [](const routing_state &State) { return State.View; });
  const auto *Service = View->serviceByPool(Request->Service->Pool);
  const auto *Team = View->teamById(Request->Team->Id);
  if (Service != nullptr && Team != nullptr) {
    Request->View = std::move(View);
    Request->Service = Service;
    Request->Team = Team;
  }
  const auto *Member = memberOf(*Request, Upstream);
  const instant Now = monotonic_clock::now();
  if (!holdsLease(Request->Context, Now)) {
    returnSlot(*Request);
    failWaiting(Request, request_error::NotServing);
    return;
  }
  if (Member == nullptr || !Member->Usable) {
    // The upstream left between the grant and now; others may serve.
    returnSlot(*Request);
    Request->Excluded.push_back(Upstream);
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Calling;
  if (++Request->Attempts == 1) {
    Request->Context.Retries.deposit();
  }
  Request->Call = upstream_call{};
  Request->Call.Upstream = Upstream;
  Request->Call.UpstreamName = Member->Name;
  Request->Call.SentAt = Now;
  logRoutine("route", {{"request", Request->PublicId},
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
  Call.Body = bodyFor(*Request);
  Call.FreshConnection = !Request->Idempotent;
  Call.Timeout = std::max<duration>(Request->Deadline - Now, 1ms);
  Call.OnHeaders = [Request](int Status, const net::http_headers &Headers) {
    onCallHeaders(Request, Status, Headers);
  };
  Call.OnBody = [Request](std::string_view Bytes) {
    onCallBody(Request, Bytes);
  };
  Call.OnDone = [Request](net::call_outcome Outcome) {
    onCallDone(Request, Outcome);
  };
  Request->Call.Call = Request->Shard.Client.start(std::move(Call));
}

request_error errorOf(pool::admission_error_code Code) noexcept {
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

void failWaiting(const request_ptr &Request, request_error Error) {
  if (Request->Exchange->answered()) {
    endIncomplete(Request, request_error::AnswerIncomplete);
    return;
  }
  failRequest(Request, Error, execution_outcome::NotRun);
}

bool anyUsable(const routed_request &Request) {
  return std::any_of(Request.Service->Members.begin(),
                     Request.Service->Members.end(),
                     [](const auto &Member) { return Member.Usable; });
}

void enqueueRequest(const request_ptr &Request) {
  Request->Phase = request_phase::Waiting;
  if (!anyUsable(*Request)) {
    failWaiting(Request, request_error::NoUpstream);
    return;
  }
  pool::pending_request Pending;
  Pending.RequestId = Request->Id;
  Pending.Team = Request->Team->Id;
  Pending.EstimatedCost = Request->EstimatedCost;
  Pending.Preferred = Request->Preferred;
  Pending.Excluded = Request->Excluded;
  Pending.Deadline = Request->Deadline;
  wait_callbacks Callbacks;
  Callbacks.OnDispatch = [Request](upstream_id Upstream) {
    onDispatched(Request, Upstream);
  };
  Callbacks.OnExpired = [Request] {
    failWaiting(Request, request_error::DeadlineExceeded);
  };
  const auto Queued = Request->Context.Pools.enqueue(
      Request->Service->Pool, std::move(Pending),
      Request->Team->Spec->QueueLength, Request->Shard, std::move(Callbacks));
  if (Queued.has_error()) {
    failWaiting(Request, errorOf(Queued.error().Code));
  } else if (Queued.value()) {
    callUpstream(Request, *Queued.value());
  }
}

/// Until when a claim is waited for.
instant claimDeadline(const routed_request &Request) {
  // A claim that takes longer than an election is not worth waiting for.
  constexpr duration ClaimWait = 5s;
  return std::min(Request.Deadline, Request.Arrived + ClaimWait);
}

void claim(const request_ptr &Request);

/// Asks again after a pause, while another attempt holds the claim: its answer
/// is recorded soon, or its end becomes known. A caller that resends after a
/// lost answer gets the recorded one in this way.
void claimLater(const request_ptr &Request) {
  constexpr duration ClaimPause = 200ms;
  if (monotonic_clock::now() + ClaimPause >= claimDeadline(*Request)) {
    failRequest(Request, request_error::ClaimInProgress,
                execution_outcome::Unknown);
    return;
  }
  const auto Timer = std::make_shared<asio::steady_timer>(Request->Shard.Io);
  Timer->expires_after(ClaimPause);
  Timer->async_wait([Request, Timer](const asio::error_code &Error) {
    if (Error || Request->Phase == request_phase::Finished) {
      return;
    }
    if (Request->CallerDisconnected) {
      Request->Phase = request_phase::Finished;
      logFinished(*Request, "caller_gone", 0);
      return;
    }
    claim(Request);
  });
}

void onClaimed(const request_ptr &Request,
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
      settleClaim(*Request, nullptr);
      return;
    }
    enqueueRequest(Request);
    return;
  case store::outcome_code::Completed:
    answerFromRecord(Request, *Outcome);
    return;
  case store::outcome_code::InProgress:
    claimLater(Request);
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

void claim(const request_ptr &Request) {
  Request->Context.Claims.claim(
      *Request->Claim, claimDeadline(*Request), Request->Shard,
      [Request](const auto &Outcome) { onClaimed(Request, Outcome); });
}

void onCallerGone(const request_ptr &Request) {
  Request->CallerDisconnected = true;
  if (Request->Phase == request_phase::Waiting &&
      Request->Context.Pools.cancel(Request->Service->Pool, Request->Id)) {
    Request->Phase = request_phase::Finished;
    settleClaim(*Request, nullptr);
    logFinished(*Request, "caller_gone", 0);
  } else if (Request->Phase == request_phase::Calling && Request->Idempotent) {
    // A non-idempotent call runs on, so that its answer can be recorded.
    Request->Shard.Client.cancel(Request->Call.Call);
  }
}

void abortRequest(const request_ptr &Request) {
  switch (Request->Phase) {
  case request_phase::Finished:
    return;
  case request_phase::Waiting:
    if (!Request->Context.Pools.cancel(Request->Service->Pool, Request->Id)) {
      Request->CallerDisconnected =
          true; // the dispatch on its way gives its slot back
    }
    failWaiting(Request, request_error::ShuttingDown);
    return;
  case request_phase::Admitted:
  case request_phase::Claiming:
    failRequest(Request, request_error::ShuttingDown,
                execution_outcome::NotRun);
    return;
  case request_phase::Calling:
    Request->Shard.Client.cancel(Request->Call.Call);
    if (Request->Exchange->answered()) {
      endIncomplete(Request, request_error::ShuttingDown);
    } else {
      failRequest(Request, request_error::ShuttingDown,
                  execution_outcome::Unknown);
    }
    return;
  }
}

void track(const request_ptr &Request) {
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
  track(Request);
  Request->Exchange->onDisconnect(
      [Weak = std::weak_ptr<routed_request>(Request)] {
        if (const auto Strong = Weak.lock()) {
          onCallerGone(Strong);
        }
      });
  if (!Request->Claim) {
    enqueueRequest(Request);
    return;
  }
  Request->Phase = request_phase::Claiming;
  claim(Request);
}

} // namespace arbutus::router
