#ifndef ARBUTUS_TRAFFIC_TRAFFIC_FLOW_H
#define ARBUTUS_TRAFFIC_TRAFFIC_FLOW_H

#include "net/http_exchange.h"
#include "traffic/traffic_shard.h"

#include <memory>

namespace arbutus::traffic {

/// Serves a request that is routed by host and path.
void handleRequest(traffic_shard &Shard,
                   const std::shared_ptr<net::http_exchange> &Exchange);

/// Ends all requests of the shard, at the end of the process.
void abortRequests(traffic_shard &Shard);

} // namespace arbutus::traffic

#endif
