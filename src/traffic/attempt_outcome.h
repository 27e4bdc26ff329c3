#ifndef ARBUTUS_TRAFFIC_ATTEMPT_OUTCOME_H
#define ARBUTUS_TRAFFIC_ATTEMPT_OUTCOME_H

#include "balance/request_scheduler.h"
#include "net/call_outcome.h"
#include "router/retry_policy.h"
#include "traffic/traffic_request.h"

namespace arbutus::traffic {

/// True if the status of the latest attempt is a success.
[[nodiscard]] bool isSuccess(const traffic_request &Request);

/// True if the response of the latest attempt may be forwarded to the caller.
[[nodiscard]] bool isResponseValid(const traffic_request &Request);

/// True if a stream ended inside an event, however its connection ended: a
/// response without a length also ends when its upstream is lost.
[[nodiscard]] bool endsInsideEvent(const traffic_request &Request,
                                   net::call_outcome Outcome);

/// True if the upstream was lost before it answered: its connection ended
/// without a whole answer, or without a whole event of a stream. One that sends
/// bytes that are no answer is up.
[[nodiscard]] bool isUpstreamLost(const traffic_request &Request,
                                  net::call_outcome Outcome);

/// What the scheduler learns from the end of an attempt.
[[nodiscard]] balance::upstream_result
upstreamResultOf(const traffic_request &Request, net::call_outcome Outcome);

/// What the retry policy decides by. Withdraws from the retry budget if the
/// request would be sent again.
[[nodiscard]] router::attempt_result
makeAttemptResult(traffic_request &Request, net::call_outcome Outcome,
                  bool SuspectedOfCrash);

} // namespace arbutus::traffic

#endif
