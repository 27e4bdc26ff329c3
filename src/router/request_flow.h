#ifndef ARBUTUS_ROUTER_REQUEST_FLOW_H
#define ARBUTUS_ROUTER_REQUEST_FLOW_H

#include "router/routed_request.h"

namespace arbutus::router {

/// Takes an admitted request through claim, queue, calls and retries to its
/// answer. Every request ends in exactly one answer, or in none if its caller
/// has gone.
void startRequest(const request_ptr &Request);

/// Ends every request of a shard with an answer that says what is known of it.
/// Call it on the shard's thread when the time for a graceful end is over.
void abortRequests(shard &Shard);

} // namespace arbutus::router

#endif
