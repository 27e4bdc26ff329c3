#include "router/retry_policy.h"

namespace arbutus::router {

namespace {

bool isOverloadStatus(int Status) noexcept {
  return Status == 429 || Status == 502 || Status == 503 || Status == 504;
}

/// True if the response is forwarded whether or not a retry is possible.
bool isForwardable(const attempt_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::Complete &&
         Result.ResponseValid && !Result.RejectedBeforeExecution &&
         Result.Status < 500;
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
  // The upstream's own error response says more than one of this router.
  if (Result.Outcome == net::call_outcome::Complete && Result.ResponseValid &&
      !(Result.Idempotent && isOverloadStatus(Result.Status))) {
    return {retry_action::ForwardResponse};
  }
  return {retry_action::Fail, Error, execution_outcome::Unknown};
}

} // namespace arbutus::router
