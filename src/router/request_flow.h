#ifndef ARBUTUS_ROUTER_REQUEST_FLOW_H
#define ARBUTUS_ROUTER_REQUEST_FLOW_H

#include "router/routed_request.h"

namespace arbutus::router {

/// Takes an admitted request through claim, queue, calls and retries to its
/// answer. Every request ends in exactly one answer, or in none if its caller
/// has gone.
void startRequest(const request_ptr &Request);

} // namespace arbutus::router

#endif
