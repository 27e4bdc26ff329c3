#ifndef ARBUTUS_ROUTER_UPSTREAM_ANSWER_H
#define ARBUTUS_ROUTER_UPSTREAM_ANSWER_H

#include "router/routed_request.h"

namespace arbutus::router {

/// Cost of the present call: prompt and output tokens for models, 1 for plain
/// services.
[[nodiscard]] double costOf(const routed_request &Request);

/// Adds the headers that tell a caller what served its request.
void addTraceHeaders(const routed_request &Request, net::http_headers &Out);

/// The upstream's answer as the caller gets it, under the caller's own id.
[[nodiscard]] net::http_response answerOf(const routed_request &Request);

/// True if the answer is for this request and whole.
[[nodiscard]] bool answerIsValid(const routed_request &Request);

/// What the grantor is told about the end of a call.
[[nodiscard]] pool::request_outcome poolOutcome(const routed_request &Request,
                                                net::call_outcome Outcome,
                                                bool Valid);

/// True if this router ended the call because its answer was wrong.
[[nodiscard]] bool cancelledByCheck(const routed_request &Request);

} // namespace arbutus::router

#endif
