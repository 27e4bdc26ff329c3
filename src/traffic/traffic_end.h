#ifndef ARBUTUS_TRAFFIC_TRAFFIC_END_H
#define ARBUTUS_TRAFFIC_TRAFFIC_END_H

#include "router/request_error.h"
#include "traffic/traffic_request.h"

#include <string_view>

namespace arbutus::traffic {

/// Answer to a request that is refused or has failed. `NotRun` answers have a
/// status that promises it, and say when to come back: after `RetryAfter`, or
/// after the usual time of such an error if that is 0.
[[nodiscard]] net::http_response
refusalAnswer(router::request_error Error, router::execution_outcome Outcome,
              std::string_view RequestId, duration RetryAfter = {});

/// Ends a request with an error, or cuts its answer off if that has begun.
void failTraffic(const traffic_request_ptr &Request,
                 router::request_error Error,
                 router::execution_outcome Outcome);

/// Passes the upstream's answer on, or ends the stream that was passed on.
void answerTraffic(const traffic_request_ptr &Request);

/// Logs the end of a request whose caller has left.
void endAbandoned(const traffic_request_ptr &Request);

/// Headers of the upstream's answer that go to the caller.
[[nodiscard]] net::http_headers answerHeaders(const net::http_headers &Headers);

} // namespace arbutus::traffic

#endif
