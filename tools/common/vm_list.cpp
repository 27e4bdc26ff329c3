#include "common/vm_list.h"

#include <nlohmann/json.hpp>

namespace arbutus::tools {

using nlohmann::json;

result<std::vector<vm>, vm_list_error> vmsFromJson(const std::string &Text) {
  std::vector<vm> List;
  try {
    const auto Body = json::parse(Text);
    for (const auto &Row : Body.at("vms")) {
      const auto State = valueOf<vm_state>(Row.at("state").get<std::string>());
      if (!State) {
        return vm_list_error{"state is neither live nor leaving"};
      }
      List.push_back({Row.at("address").get<std::string>(),
                      Row.at("failure_domain").get<std::string>(), *State});
    }
  } catch (const json::exception &Error) {
    return vm_list_error{Error.what()};
  }
  return List;
}

result<std::vector<vm>, vm_list_error>
vmsFromFlag(const std::vector<std::string> &Items) {
  std::vector<vm> List;
  for (const auto &Item : Items) {
    const auto Split = Item.find('=');
    if (Split == std::string::npos) {
      return vm_list_error{"'" + Item + "' is not ADDRESS=FAILURE_DOMAIN"};
    }
    List.push_back({Item.substr(0, Split), Item.substr(Split + 1)});
  }
  return List;
}

std::string vmsToJson(const std::vector<vm> &List) {
  json Rows = json::array();
  for (const auto &Vm : List) {
    Rows.push_back({{"address", Vm.Address},
                    {"failure_domain", Vm.FailureDomain},
                    {"state", nameOf(Vm.State)}});
  }
  return json{{"vms", std::move(Rows)}}.dump();
}

std::string errorJson(const vm_list_error &Error) {
  return json{{"error",
               {{"type", "invalid_request_error"}, {"message", Error.Message}}}}
      .dump();
}

} // namespace arbutus::tools
