#ifndef ARBUTUS_TRAFFIC_ROUTER_ADDRESSES_H
#define ARBUTUS_TRAFFIC_ROUTER_ADDRESSES_H

#include "membership/node_session.h"
#include "traffic/platform_adapter.h"

#include <string>
#include <vector>

namespace arbutus::traffic {

/// Addresses that a caller should connect to: routers that are live and not
/// leaving, those of its own failure domain if at least half of its usual
/// number is left, else those of its region, else all. At most 64.
[[nodiscard]] std::vector<std::string>
selectRouterAddresses(const std::vector<membership::live_node> &Nodes,
                      const address_query &Caller);

} // namespace arbutus::traffic

#endif
