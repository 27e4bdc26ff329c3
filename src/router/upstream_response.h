#ifndef ARBUTUS_ROUTER_UPSTREAM_RESPONSE_H
#define ARBUTUS_ROUTER_UPSTREAM_RESPONSE_H

#include "router/routed_request.h"

namespace arbutus::router {

/// Returns the cost of the current attempt: prompt and output tokens for
/// models, 1 for other services.
[[nodiscard]] double computeCost(const routed_request &Request);

/// Adds the headers that tell a caller which node and upstream served its
/// request.
void addTraceHeaders(const routed_request &Request, net::http_headers &Out);

/// Converts the upstream's response for the caller. The caller's request id
/// replaces the one sent to the upstream.
[[nodiscard]] net::http_response
makeCallerResponse(const routed_request &Request);

/// True if the response is complete and belongs to this request.
[[nodiscard]] bool isResponseValid(const routed_request &Request);

/// Returns the outcome of the attempt that is reported to the grantor.
[[nodiscard]] pool::request_outcome toPoolOutcome(const routed_request &Request,
                                                  net::call_outcome Outcome,
                                                  bool Valid);

/// True if this router cancelled the attempt because its response was too long
/// or invalid.
[[nodiscard]] bool wasResponseRejected(const routed_request &Request);

} // namespace arbutus::router

#endif
