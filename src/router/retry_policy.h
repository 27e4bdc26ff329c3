#ifndef ARBUTUS_ROUTER_RETRY_POLICY_H
#define ARBUTUS_ROUTER_RETRY_POLICY_H

#include "base/clock.h"
#include "base/name_table.h"
#include "net/call_outcome.h"
#include "router/request_error.h"

namespace arbutus::router {

/// What happens to a request after a call to an upstream has ended.
enum class retry_action {
  ForwardResponse, ///< pass the upstream's answer on
  Retry,           ///< enqueue again, without this upstream
  Resume,          ///< continue the broken stream from its last token
  Fail,            ///< answer with an error
  EndIncomplete,   ///< the answer has begun: end it, marked as incomplete
};

/// How a call ended and what the request allows.
struct attempt_result {
  net::call_outcome Outcome = net::call_outcome::Complete;
  int Status = 0; ///< of the upstream's answer, 0 without one
  bool RejectedBeforeExecution =
      false;                    ///< the upstream says it refused before running
  bool ResponseValid = true;    ///< ids matched and the stream had its end mark
  bool ResponseStarted = false; ///< bytes of the answer were sent to the caller
  bool Idempotent = false;
  bool Resumable = false; ///< the engine can continue a broken stream
  bool HasAttemptsLeft = false;
  bool HasRetryBudget = false; ///< the retry budget allows one more call
  bool HasTimeLeft = false;
};

struct step_decision {
  retry_action Step = retry_action::Fail;
  request_error Error = request_error::UpstreamFailed; ///< for Fail and later
  execution_outcome Outcome = execution_outcome::Unknown;

  friend bool operator==(const step_decision &,
                         const step_decision &) = default;
};

/// True if the call proves that the request did not run.
[[nodiscard]] bool isProvenNotExecuted(const attempt_result &Result) noexcept;

/// Decides without side effects. A request that may have run is called again
/// only when it is idempotent, and never after its answer has begun.
[[nodiscard]] step_decision
decideRetryAction(const attempt_result &Result) noexcept;

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::retry_action> {
  static constexpr name_row<router::retry_action> Rows[] = {
      {router::retry_action::ForwardResponse, "answer"},
      {router::retry_action::Retry, "retry"},
      {router::retry_action::Resume, "resume"},
      {router::retry_action::Fail, "fail"},
      {router::retry_action::EndIncomplete, "end_incomplete"},
  };
};

} // namespace arbutus

#endif
