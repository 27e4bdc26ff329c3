#ifndef ARBUTUS_ROUTER_ADDRESS_RANKER_H
#define ARBUTUS_ROUTER_ADDRESS_RANKER_H

#include "base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::router {

/// A router that is live, not suspected of a failure and not draining.
struct address_node {
  node_id Node{};
  std::string FailureDomain;
  std::string Region;
  std::string HttpAddress;
};

/// What the router knows about a caller that asks for addresses.
struct caller_info {
  std::string_view Team;
  /// Address of the caller, without its port, which changes per connection.
  std::string_view Address;
  /// Nodes of this region come first; empty for no preference.
  std::string_view Region;
};

/// Ranks the nodes for each caller by rendezvous hashing with bounded loads, so
/// that a caller keeps its order while the nodes stay the same. A node that has
/// been the first address for more than 1.25 times the mean is not put first:
/// hashing alone spreads 10,000 callers over 690 nodes too unevenly. Successive
/// addresses take turns among the failure domains. Not thread-safe.
class address_ranker {
public:
  explicit address_ranker(std::uint64_t Seed) noexcept;

  /// Returns the indices of all nodes, best first.
  [[nodiscard]] std::vector<std::size_t>
  rank(const std::vector<address_node> &Nodes, const caller_info &Caller);

private:
  std::uint64_t Seed;
  /// How often each node has recently been a first address.
  std::map<node_id, std::uint32_t> FirstChoiceCounts;
};

} // namespace arbutus::router

#endif
