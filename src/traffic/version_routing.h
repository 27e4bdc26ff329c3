#ifndef ARBUTUS_TRAFFIC_VERSION_ROUTING_H
#define ARBUTUS_TRAFFIC_VERSION_ROUTING_H

#include "base/clock.h"
#include "net/call_outcome.h"
#include "traffic/traffic_request.h"

namespace arbutus::traffic {

/// Selects the pool of instances for the next attempt of the request, by the
/// rollout of its service. A share of the first attempts tests the new version;
/// a repeated attempt never does.
void choosePool(traffic_request &Request);

/// Latest time at which the request may be sent to its pool. A request that
/// tests a version waits only a part of the time, so that it can be served by
/// the other one.
[[nodiscard]] instant dispatchDeadline(const traffic_request &Request,
                                       instant Now);

/// Called when the request gets no slot in its pool. Returns true if it may try
/// another pool: it was to test a version, or its pool is out of use since.
[[nodiscard]] bool leavePool(traffic_request &Request, instant Now);

/// Counts the attempt that begins. Called before the last check whether the
/// instance may receive it.
void recordVersionSent(const traffic_request &Request);

/// Ends an attempt that was not sent after all.
void recordVersionWithheld(const traffic_request &Request);

/// Ends an attempt and records what it says about the instance's version.
void recordVersionOutcome(const traffic_request &Request,
                          net::call_outcome Outcome);

} // namespace arbutus::traffic

#endif
