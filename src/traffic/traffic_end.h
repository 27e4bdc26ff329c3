#ifndef ARBUTUS_TRAFFIC_TRAFFIC_END_H
#define ARBUTUS_TRAFFIC_TRAFFIC_END_H

#include "router/request_error.h"
#include "traffic/traffic_request.h"

#include <string_view>

namespace arbutus::traffic {

/// Response to a request that is refused or has failed. With the outcome
/// `NotRun`, the status guarantees that the request was not executed, and
/// Retry-After says when to try again: after `RetryAfter`, or after the default
/// time for the error if that is 0.
[[nodiscard]] net::http_response
errorResponse(router::request_error Error, router::execution_outcome Outcome,
              std::string_view RequestId, duration RetryAfter = {});

/// Completes a request with an error response, or closes the connection if the
/// response has begun.
void failRequest(const traffic_request_ptr &Request,
                 router::request_error Error,
                 router::execution_outcome Outcome);

/// Forwards the upstream's response, or ends the stream that was forwarded.
void completeRequest(const traffic_request_ptr &Request);

/// Completes a request whose caller has disconnected.
void completeDisconnected(const traffic_request_ptr &Request);

/// Headers of the upstream's response without hop-by-hop headers.
[[nodiscard]] net::http_headers
responseHeaders(const net::http_headers &Headers);

} // namespace arbutus::traffic

#endif
