#include "router/retry_policy.h"

namespace arbutus::router {

namespace {

bool isOverloadStatus(int Status) noexcept {
  return Status == 429 || Status == 502 || Status == 503 || Status == 504;
}

/// True if the upstream's answer is one to pass on.
bool isGoodAnswer(const attempt_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::Complete &&
         Result.ResponseValid && !Result.RejectedBeforeExecution &&
         Result.Status < 500;
}

request_error errorOf(const attempt_result &Result) noexcept {
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

step_decision decideRetryAction(const attempt_result &Result) noexcept {
  if (isGoodAnswer(Result)) {
    return {retry_action::ForwardResponse};
  }
  const bool MayCallAgain =
      Result.HasAttemptsLeft && Result.HasRetryBudget && Result.HasTimeLeft;
  const request_error Error = errorOf(Result);
  if (Result.ResponseStarted) {
    if (Result.Resumable && MayCallAgain) {
      return {retry_action::Resume, Error, execution_outcome::Unknown};
    }
    return {retry_action::EndIncomplete, Error, execution_outcome::Unknown};
  }
  const bool NotRun = isProvenNotExecuted(Result);
  if ((NotRun || Result.Idempotent) && MayCallAgain) {
    return {retry_action::Retry, Error, execution_outcome::Unknown};
  }
  if (NotRun) {
    return {retry_action::Fail, Error, execution_outcome::NotRun};
  }
  // An upstream's own error answer says more than an error of ours.
  if (Result.Outcome == net::call_outcome::Complete && Result.ResponseValid &&
      !(Result.Idempotent && isOverloadStatus(Result.Status))) {
    return {retry_action::ForwardResponse};
  }
  return {retry_action::Fail, Error, execution_outcome::Unknown};
}

} // namespace arbutus::router
