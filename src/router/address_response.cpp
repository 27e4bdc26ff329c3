#include "router/address_response.h"

#include <nlohmann/json.hpp>

namespace arbutus::router {

std::string
makeAddressResponseBody(const std::vector<membership::live_node> &Nodes,
                        address_ranker &Ranker, const caller_info &Caller,
                        std::uint32_t TtlMs) {
  std::vector<address_node> Usable;
  for (const auto &Node : Nodes) {
    if (Node.Info.IsRouter && !Node.Suspected && !Node.Leaving) {
      Usable.push_back({Node.Info.Node, Node.Info.FailureDomain,
                        Node.Info.Region, Node.Info.HttpAddress});
    }
  }
  nlohmann::ordered_json Response;
  Response["ttl_ms"] = TtlMs;
  Response["addresses"] = nlohmann::ordered_json::array();
  for (const std::size_t Index : Ranker.rank(Usable, Caller)) {
    Response["addresses"].push_back(
        {{"address", Usable[Index].HttpAddress},
         {"failure_domain", Usable[Index].FailureDomain}});
  }
  return Response.dump();
}

} // namespace arbutus::router
