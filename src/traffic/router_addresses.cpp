#include "traffic/router_addresses.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>

namespace arbutus::traffic {

namespace {

/// A caller needs a second address to fail over to.
constexpr std::size_t MinAddresses = 2;
constexpr std::size_t MaxAddresses = 64;

using node_filter = std::function<bool(const membership::node_info &)>;

bool isAcceptingRequests(const membership::live_node &Node) {
  return !Node.Info.TrafficAddress.empty() && !Node.Suspected && !Node.Leaving;
}

std::vector<std::string>
addressesOf(const std::vector<membership::live_node> &Nodes,
            const node_filter &Wanted) {
  std::vector<std::string> Addresses;
  for (const auto &Node : Nodes) {
    if (isAcceptingRequests(Node) && Wanted(Node.Info)) {
      Addresses.push_back(Node.Info.TrafficAddress);
    }
  }
  return Addresses;
}

/// Mean number of routers per failure domain, rounded down.
std::size_t
meanRoutersPerDomain(const std::vector<membership::live_node> &Nodes) {
  std::set<std::string_view> Domains;
  std::size_t Accepting = 0;
  for (const auto &Node : Nodes) {
    if (isAcceptingRequests(Node)) {
      Domains.insert(Node.Info.FailureDomain);
      ++Accepting;
    }
  }
  return Domains.empty() ? 0 : Accepting / Domains.size();
}

/// At most `MaxAddresses`, taken at even intervals from the whole list.
std::vector<std::string>
sampleEvenly(const std::vector<std::string> &Addresses) {
  if (Addresses.size() <= MaxAddresses) {
    return Addresses;
  }
  std::vector<std::string> Chosen;
  for (std::size_t I = 0; I < MaxAddresses; ++I) {
    Chosen.push_back(Addresses[I * Addresses.size() / MaxAddresses]);
  }
  return Chosen;
}

} // namespace

std::vector<std::string>
selectRouterAddresses(const std::vector<membership::live_node> &Nodes,
                      const address_query &Caller) {
  const node_filter Filters[] = {
      [&](const auto &Info) {
        return Info.FailureDomain == Caller.FailureDomain;
      },
      [&](const auto &Info) { return Info.Region == Caller.Region; },
  };
  // If only a few routers of a domain are left, they cannot serve all its
  // callers.
  const std::size_t MinRouters =
      std::max(MinAddresses, meanRoutersPerDomain(Nodes) / 2);
  for (const auto &Wanted : Filters) {
    const auto Addresses = addressesOf(Nodes, Wanted);
    if (Addresses.size() >= MinRouters) {
      return sampleEvenly(Addresses);
    }
  }
  return sampleEvenly(addressesOf(Nodes, [](const auto &) { return true; }));
}

} // namespace arbutus::traffic
