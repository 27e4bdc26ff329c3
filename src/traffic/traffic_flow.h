#ifndef ARBUTUS_TRAFFIC_TRAFFIC_FLOW_H
#define ARBUTUS_TRAFFIC_TRAFFIC_FLOW_H

#include "net/http_exchange.h"
#include "traffic/traffic_shard.h"

#include <memory>

namespace arbutus::traffic {

/// Handles a request that is routed by host and path.
void handleRequest(traffic_shard &Shard,
                   const std::shared_ptr<net::http_exchange> &Exchange);

/// Cancels all requests of the shard when the process shuts down.
void abortRequests(traffic_shard &Shard);

} // namespace arbutus::traffic

#endif
