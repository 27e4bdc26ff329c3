#include "router/retry_policy.h"

namespace arbutus::router {

namespace {

/// True for a status that says nothing about the request itself.
bool isGatewayStatus(int Status) noexcept {
  return Status == 502 || Status == 504;
}

/// True for a status that promises the caller that its request has not run and
/// never will.
bool isPromiseStatus(int Status) noexcept {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// True if the response is forwarded whether or not a retry is possible.
bool isForwardable(const attempt_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::Complete &&
         Result.ResponseValid && !Result.RejectedBeforeExecution &&
         Result.Status < 500 && !isPromiseStatus(Result.Status);
}

request_error toRequestError(const attempt_result &Result) noexcept {
  switch (Result.Outcome) {
  case net::call_outcome::NothingSent:
    return Result.HasTimeLeft ? request_error::UpstreamUnreachable
                              : request_error::DeadlineExceeded;
  case net::call_outcome::DeadlinePassed:
    return request_error::DeadlineExceeded;
  case net::call_outcome::AnswerBroken:
    return request_error::AnswerIncomplete;
  case net::call_outcome::Complete:
    return Result.ResponseValid ? request_error::UpstreamFailed
                                : request_error::UpstreamAnswerInvalid;
  default:
    return request_error::UpstreamFailed;
  }
}

} // namespace

bool isProvenNotExecuted(const attempt_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::NothingSent ||
         (Result.Outcome == net::call_outcome::Complete &&
          Result.RejectedBeforeExecution);
}

retry_decision decideRetryAction(const attempt_result &Result) noexcept {
  if (isForwardable(Result)) {
    return {retry_action::ForwardResponse};
  }
  const bool MayRetry = Result.HasAttemptsLeft && Result.HasRetryBudget &&
                        Result.HasTimeLeft && !Result.SuspectedOfCrash;
  const request_error Error = toRequestError(Result);
  if (Result.ResponseStarted) {
    if (Result.Resumable && MayRetry) {
      return {retry_action::Resume, Error, execution_outcome::Unknown};
    }
    return {retry_action::AbortStream, Error, execution_outcome::Unknown};
  }
  const bool NotExecuted = isProvenNotExecuted(Result);
  if ((NotExecuted || Result.Idempotent) && MayRetry) {
    return {retry_action::Retry, Error, execution_outcome::Unknown};
  }
  if (NotExecuted) {
    return {retry_action::Fail, Error, execution_outcome::NotRun};
  }
  // The upstream's own error response says more than one of this router, unless
  // its status promises what the upstream has not proven.
  if (Result.Outcome == net::call_outcome::Complete && Result.ResponseValid &&
      !isPromiseStatus(Result.Status) &&
      !(Result.Idempotent && isGatewayStatus(Result.Status))) {
    return {retry_action::ForwardResponse};
  }
  return {retry_action::Fail, Error, execution_outcome::Unknown};
}

} // namespace arbutus::router
