#ifndef ARBUTUS_ROUTER_ADDRESS_ORDER_H
#define ARBUTUS_ROUTER_ADDRESS_ORDER_H

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::router {

/// A node that is live, not suspected and not leaving.
struct address_node {
  node_id Node{};
  std::string FailureDomain;
  std::string Region;
  std::string HttpAddress;
};

/// What the router knows about a caller that asks for addresses.
struct caller_hints {
  std::string_view Team;
  /// Address of the caller, without its port, which changes per connection.
  std::string_view ClientAddress;
  /// Nodes of this region come first; empty for no preference.
  std::string_view Region;
};

/// Orders the addresses of the fleet for each caller by a seeded hash, so that
/// a caller keeps its order while the nodes stay the same. A node that has
/// been the first address of more than 1.25 times its share is passed over:
/// hashing alone spreads 10,000 callers over 690 nodes too unevenly. The second
/// address is in another failure domain than the first, and so on in turn.
/// Not thread-safe.
class address_order {
public:
  explicit address_order(std::uint64_t Seed) noexcept;

  /// Returns the indices of all nodes, best first.
  [[nodiscard]] std::vector<std::size_t>
  order(const std::vector<address_node> &Nodes, const caller_hints &Caller);

private:
  std::uint64_t Seed;
  /// How often each node has been a first address lately.
  std::map<node_id, std::uint32_t> First;
};

} // namespace arbutus::router

#endif
