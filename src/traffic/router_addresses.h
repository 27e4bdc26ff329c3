#ifndef ARBUTUS_TRAFFIC_ROUTER_ADDRESSES_H
#define ARBUTUS_TRAFFIC_ROUTER_ADDRESSES_H

#include "membership/node_session.h"
#include "traffic/platform_adapter.h"

#include <string>
#include <vector>

namespace arbutus::traffic {

/// Addresses of live, non-draining routers for a caller: those of its failure
/// domain if at least half of the mean number per domain and at least two are
/// available, else those of its region under the same condition, else all. At
/// most 64.
[[nodiscard]] std::vector<std::string>
selectRouterAddresses(const std::vector<membership::live_node> &Nodes,
                      const address_query &Caller);

} // namespace arbutus::traffic

#endif
