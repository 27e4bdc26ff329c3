#ifndef ARBUTUS_ROUTER_RETRY_POLICY_H
#define ARBUTUS_ROUTER_RETRY_POLICY_H

#include "base/clock.h"
#include "base/name_table.h"
#include "net/call_outcome.h"
#include "router/request_error.h"

namespace arbutus::router {

/// What happens to a request after an attempt has ended.
enum class retry_action {
  ForwardResponse, ///< forward the upstream's response
  Retry,           ///< enqueue again, without this upstream
  Resume,          ///< continue the broken stream from its last token
  Fail,            ///< respond with an error
  AbortStream,     ///< the response has started: end it, marked as incomplete
};

/// How an attempt ended, and which further attempts the request allows.
struct attempt_result {
  net::call_outcome Outcome = net::call_outcome::Complete;
  int Status = 0; ///< of the upstream's response, 0 without one
  /// The upstream says that it rejected the request before executing it.
  bool RejectedBeforeExecution = false;
  bool ResponseValid = true;    ///< ids match and a stream has its end mark
  bool ResponseStarted = false; ///< part of it was sent to the caller
  bool Idempotent = false;
  bool Resumable = false; ///< the engine can continue a broken stream
  bool HasAttemptsLeft = false;
  bool HasRetryBudget = false; ///< the retry budget allows another attempt
  bool HasTimeLeft = false;
  /// The request may have crashed its upstream, and would crash the next.
  bool SuspectedOfCrash = false;
};

struct retry_decision {
  retry_action Action = retry_action::Fail;
  /// Why the attempt failed; the caller's error for `Fail` and `AbortStream`.
  request_error Error = request_error::UpstreamFailed;
  execution_outcome Outcome = execution_outcome::Unknown;

  friend bool operator==(const retry_decision &,
                         const retry_decision &) = default;
};

/// True if the attempt proves that the request was not executed.
[[nodiscard]] bool isProvenNotExecuted(const attempt_result &Result) noexcept;

/// Decides what follows an attempt, without side effects. A request that may
/// have been executed is retried only if it is idempotent and its response has
/// not started. A started stream can only be resumed.
[[nodiscard]] retry_decision
decideRetryAction(const attempt_result &Result) noexcept;

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::retry_action> {
  static constexpr name_row<router::retry_action> Rows[] = {
      {router::retry_action::ForwardResponse, "answer"},
      {router::retry_action::Retry, "retry"},
      {router::retry_action::Resume, "resume"},
      {router::retry_action::Fail, "fail"},
      {router::retry_action::AbortStream, "end_incomplete"},
  };
};

} // namespace arbutus

#endif
