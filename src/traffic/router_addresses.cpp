#include "traffic/router_addresses.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>

namespace arbutus::traffic {

namespace {

/// Fewer addresses would leave a caller without a second one.
constexpr std::size_t FewestAddresses = 2;
constexpr std::size_t MostAddresses = 64;

using node_filter = std::function<bool(const membership::node_info &)>;

bool isOpen(const membership::live_node &Node) {
  return !Node.Info.TrafficAddress.empty() && !Node.Suspected && !Node.Leaving;
}

std::vector<std::string>
addressesOf(const std::vector<membership::live_node> &Nodes,
            const node_filter &Wanted) {
  std::vector<std::string> Addresses;
  for (const auto &Node : Nodes) {
    if (isOpen(Node) && Wanted(Node.Info)) {
      Addresses.push_back(Node.Info.TrafficAddress);
    }
  }
  return Addresses;
}

/// Routers that a failure domain has if all have the same number.
std::size_t evenShare(const std::vector<membership::live_node> &Nodes) {
  std::set<std::string_view> Domains;
  std::size_t Open = 0;
  for (const auto &Node : Nodes) {
    if (isOpen(Node)) {
      Domains.insert(Node.Info.FailureDomain);
      ++Open;
    }
  }
  return Domains.empty() ? 0 : Open / Domains.size();
}

/// At most as many as an answer holds, taken evenly from the whole list.
std::vector<std::string> limited(const std::vector<std::string> &Addresses) {
  if (Addresses.size() <= MostAddresses) {
    return Addresses;
  }
  std::vector<std::string> Chosen;
  for (std::size_t I = 0; I < MostAddresses; ++I) {
    Chosen.push_back(Addresses[I * Addresses.size() / MostAddresses]);
  }
  return Chosen;
}

} // namespace

std::vector<std::string>
selectRouterAddresses(const std::vector<membership::live_node> &Nodes,
                      const address_query &Caller) {
  const node_filter Steps[] = {
      [&](const auto &Info) {
        return Info.FailureDomain == Caller.FailureDomain;
      },
      [&](const auto &Info) { return Info.Region == Caller.Region; },
  };
  // The few routers that are left of a domain could not carry its callers.
  const std::size_t Enough = std::max(FewestAddresses, evenShare(Nodes) / 2);
  for (const auto &Wanted : Steps) {
    const auto Addresses = addressesOf(Nodes, Wanted);
    if (Addresses.size() >= Enough) {
      return limited(Addresses);
    }
  }
  return limited(addressesOf(Nodes, [](const auto &) { return true; }));
}

} // namespace arbutus::traffic
