#include "traffic/attempt_outcome.h"

namespace arbutus::traffic {

namespace {

using balance::upstream_result;
using router::retry_action;

constexpr int MinNonSuccessStatus = 300;
constexpr int MinServerErrorStatus = 500;

} // namespace

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

bool endsInsideEvent(const traffic_request &Request,
                     net::call_outcome Outcome) {
  return Outcome == net::call_outcome::Complete && isSuccess(Request) &&
         Request.Attempt.IsEventStream && Request.Events.hasPartialEvent();
}

bool isUpstreamLost(const traffic_request &Request, net::call_outcome Outcome) {
  const bool ConnectionEnded = Outcome == net::call_outcome::SentNoAnswer ||
                               Outcome == net::call_outcome::AnswerBroken;
  return ConnectionEnded && !Request.Attempt.FirstEvent &&
         !Request.Attempt.Oversized && !Request.Attempt.Unreadable;
}

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

router::attempt_result makeAttemptResult(traffic_request &Request,
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

} // namespace arbutus::traffic
