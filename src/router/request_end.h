#ifndef ARBUTUS_ROUTER_REQUEST_END_H
#define ARBUTUS_ROUTER_REQUEST_END_H

#include "router/routed_request.h"
#include "store/outcome.h"

namespace arbutus::router {

/// Logs the end of a request. `Status` is 0 when no response was sent.
void logFinished(const routed_request &Request, std::string_view Result,
                 int Status);

/// Records the response under the request's claim, or withdraws the claim when
/// `Response` is null because the request was not executed. Does nothing if the
/// request holds no claim.
void completeOrWithdrawClaim(routed_request &Request,
                             const net::http_response *Response);

/// Responds with an error. `Outcome` becomes `Unknown` if an attempt may have
/// been executed. Does nothing for a finished request.
void failRequest(const request_ptr &Request, request_error Error,
                 execution_outcome Outcome);

/// Ends a started stream with an error event and without its end mark, so that
/// the caller does not take it for complete.
void endStreamWithError(const request_ptr &Request, request_error Error);

/// Forwards the upstream's response, or the end of its stream, to the caller.
void forwardResponse(const request_ptr &Request);

/// Responds to a repeated request with the recorded response of the first one.
void replayRecordedResponse(const request_ptr &Request,
                            const store::command_outcome &Outcome);

} // namespace arbutus::router

#endif
