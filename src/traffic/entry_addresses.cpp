#include "traffic/entry_addresses.h"

#include <functional>

namespace arbutus::traffic {

namespace {

/// Fewer addresses would leave a caller without a second one.
constexpr std::size_t FewestAddresses = 2;
constexpr std::size_t MostAddresses = 64;

using node_filter = std::function<bool(const membership::node_info &)>;

std::vector<std::string>
addressesOf(const std::vector<membership::live_node> &Nodes,
            const node_filter &Wanted) {
  std::vector<std::string> Addresses;
  for (const auto &Node : Nodes) {
    if (!Node.Info.TrafficAddress.empty() && !Node.Suspected && !Node.Leaving &&
        Wanted(Node.Info) && Addresses.size() < MostAddresses) {
      Addresses.push_back(Node.Info.TrafficAddress);
    }
  }
  return Addresses;
}

} // namespace

std::vector<std::string>
entryAddresses(const std::vector<membership::live_node> &Nodes,
               const address_query &Caller) {
  const node_filter Steps[] = {
      [&](const auto &Info) {
        return Info.FailureDomain == Caller.FailureDomain;
      },
      [&](const auto &Info) { return Info.Region == Caller.Region; },
  };
  for (const auto &Wanted : Steps) {
    auto Addresses = addressesOf(Nodes, Wanted);
    if (Addresses.size() >= FewestAddresses) {
      return Addresses;
    }
  }
  return addressesOf(Nodes, [](const auto &) { return true; });
}

} // namespace arbutus::traffic
