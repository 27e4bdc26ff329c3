#ifndef ARBUTUS_ROUTER_REQUEST_FLOW_H
#define ARBUTUS_ROUTER_REQUEST_FLOW_H

#include "router/routed_request.h"

namespace arbutus::router {

/// Claims the idempotency key of an admitted request, queues the request, sends
/// it to upstreams with retries and responds. Every request gets exactly one
/// response, or none if its caller has disconnected.
void startRequest(const request_ptr &Request);

/// Responds to every request of a shard with an error that says whether it may
/// have been executed. Call it on the shard's thread when the time for a
/// graceful shutdown is over.
void abortRequests(shard &Shard);

} // namespace arbutus::router

#endif
