#ifndef ARBUTUS_ROUTER_REQUEST_END_H
#define ARBUTUS_ROUTER_REQUEST_END_H

#include "router/routed_request.h"
#include "store/outcome.h"

namespace arbutus::router {

/// Writes the log line of a finished request.
void logFinished(const routed_request &Request, std::string_view Result,
                 int Status);

/// Tells the record of a claim how its request ended: the answer, or that it
/// did not run when `Answer` is null. Does nothing without a claim.
void settleClaim(routed_request &Request, const net::http_response *Answer);

/// Answers with an error. `Outcome` becomes `Unknown` if any call may have run.
/// Does nothing for a finished request.
void failRequest(const request_ptr &Request, request_error Error,
                 execution_outcome Outcome);

/// Ends a begun stream so that no client takes it for complete.
void endIncomplete(const request_ptr &Request, request_error Error);

/// Passes the upstream's answer, or the end of its stream, on.
void answerRequest(const request_ptr &Request);

/// Answers a resend from the record of the first request.
void answerFromRecord(const request_ptr &Request,
                      const store::command_outcome &Outcome);

} // namespace arbutus::router

#endif
