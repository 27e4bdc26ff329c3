#ifndef ARBUTUS_ROUTER_ADDRESS_ANSWER_H
#define ARBUTUS_ROUTER_ADDRESS_ANSWER_H

#include "control/node_session.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::router {

/// Who asks for addresses; the hints spread callers over the nodes.
struct address_query {
  std::string_view Team;          ///< or a hash of the key, may be empty
  std::string_view ClientAddress; ///< IP address of the caller
  std::string_view Region;        ///< preferred region, may be empty
};

/// JSON answer of `GET /v1/addresses`: routers that are live and not leaving,
/// best first, and for how long the answer may be kept.
[[nodiscard]] std::string
addressAnswer(const std::vector<control::live_node> &Nodes,
              const address_query &Query, std::uint32_t TtlMs);

} // namespace arbutus::router

#endif
