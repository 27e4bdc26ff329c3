#ifndef ARBUTUS_ROUTER_ADDRESS_RESPONSE_H
#define ARBUTUS_ROUTER_ADDRESS_RESPONSE_H

#include "membership/node_session.h"
#include "router/address_ranker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::router {

/// Returns the JSON response of `GET /v1/addresses`: the routers that are live,
/// not suspected and not draining, best first, and for how long the caller may
/// use them.
[[nodiscard]] std::string
makeAddressResponseBody(const std::vector<membership::live_node> &Nodes,
                        address_ranker &Ranker, const caller_info &Caller,
                        std::uint32_t TtlMs);

} // namespace arbutus::router

#endif
