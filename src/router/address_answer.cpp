#include "router/address_answer.h"

#include <nlohmann/json.hpp>

namespace arbutus::router {

std::string addressAnswer(const std::vector<membership::live_node> &Nodes,
                          address_order &Order, const caller_hints &Caller,
                          std::uint32_t TtlMs) {
  std::vector<address_node> Usable;
  for (const auto &Node : Nodes) {
    if (Node.Info.IsRouter && !Node.Suspected && !Node.Leaving) {
      Usable.push_back({Node.Info.Node, Node.Info.FailureDomain,
                        Node.Info.Region, Node.Info.HttpAddress});
    }
  }
  nlohmann::ordered_json Answer;
  Answer["ttl_ms"] = TtlMs;
  Answer["addresses"] = nlohmann::ordered_json::array();
  for (const std::size_t Index : Order.order(Usable, Caller)) {
    Answer["addresses"].push_back(
        {{"address", Usable[Index].HttpAddress},
         {"failure_domain", Usable[Index].FailureDomain}});
  }
  return Answer.dump();
}

} // namespace arbutus::router
