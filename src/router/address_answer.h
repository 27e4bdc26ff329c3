#ifndef ARBUTUS_ROUTER_ADDRESS_ANSWER_H
#define ARBUTUS_ROUTER_ADDRESS_ANSWER_H

#include "membership/node_session.h"
#include "router/address_order.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::router {

/// JSON answer of `GET /v1/addresses`: routers that are live and not leaving,
/// best first, and for how long the answer may be kept.
[[nodiscard]] std::string
addressAnswer(const std::vector<membership::live_node> &Nodes,
              address_order &Order, const caller_hints &Caller,
              std::uint32_t TtlMs);

} // namespace arbutus::router

#endif
