#ifndef ARBUTUS_TRAFFIC_CRASH_DETECTION_H
#define ARBUTUS_TRAFFIC_CRASH_DETECTION_H

#include "net/call_outcome.h"
#include "traffic/traffic_request.h"

namespace arbutus::traffic {

/// Records that the upstream of the latest attempt answers.
void recordUpstreamAnswers(const traffic_request &Request, instant Now);

/// Records what the end of an attempt says about the prompt: whether it may
/// crash upstreams. Returns true if the request must not be sent to another
/// upstream.
[[nodiscard]] bool recordCrashEvidence(const traffic_request &Request,
                                       net::call_outcome Outcome);

} // namespace arbutus::traffic

#endif
