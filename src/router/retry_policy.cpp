#include "router/retry_policy.h"

namespace arbutus::router {

namespace {

bool isOverloadStatus(int Status) noexcept {
  return Status == 429 || Status == 502 || Status == 503 || Status == 504;
}

/// True if the upstream's answer is one to pass on.
bool isGoodAnswer(const call_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::Complete && Result.AnswerValid &&
         !Result.UpstreamNotRun && Result.Status < 500;
}

request_error errorOf(const call_result &Result) noexcept {
  switch (Result.Outcome) {
  case net::call_outcome::NothingSent:
    return Result.DeadlineLeft ? request_error::UpstreamUnreachable
                               : request_error::DeadlineExceeded;
  case net::call_outcome::DeadlinePassed:
    return request_error::DeadlineExceeded;
  case net::call_outcome::AnswerBroken:
    return request_error::AnswerIncomplete;
  case net::call_outcome::Complete:
    return Result.AnswerValid ? request_error::UpstreamFailed
                              : request_error::UpstreamAnswerInvalid;
  default:
    return request_error::UpstreamFailed;
  }
}

} // namespace

bool provedNotRun(const call_result &Result) noexcept {
  return Result.Outcome == net::call_outcome::NothingSent ||
         (Result.Outcome == net::call_outcome::Complete &&
          Result.UpstreamNotRun);
}

step_decision decideNextStep(const call_result &Result) noexcept {
  if (isGoodAnswer(Result)) {
    return {next_step::Answer};
  }
  const bool MayCallAgain =
      Result.AttemptsLeft && Result.BudgetLeft && Result.DeadlineLeft;
  const request_error Error = errorOf(Result);
  if (Result.AnswerBegun) {
    if (Result.Resumable && MayCallAgain) {
      return {next_step::Resume, Error, run_outcome::Unknown};
    }
    return {next_step::EndIncomplete, Error, run_outcome::Unknown};
  }
  const bool NotRun = provedNotRun(Result);
  if ((NotRun || Result.Idempotent) && MayCallAgain) {
    return {next_step::Retry, Error, run_outcome::Unknown};
  }
  if (NotRun) {
    return {next_step::Fail, Error, run_outcome::NotRun};
  }
  // An upstream's own error answer says more than an error of ours.
  if (Result.Outcome == net::call_outcome::Complete && Result.AnswerValid &&
      !(Result.Idempotent && isOverloadStatus(Result.Status))) {
    return {next_step::Answer};
  }
  return {next_step::Fail, Error, run_outcome::Unknown};
}

} // namespace arbutus::router
