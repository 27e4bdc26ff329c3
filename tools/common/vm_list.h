#ifndef ARBUTUS_TOOLS_COMMON_VM_LIST_H
#define ARBUTUS_TOOLS_COMMON_VM_LIST_H

#include "base/name_table.h"
#include "base/result.h"

#include <string>
#include <vector>

namespace arbutus::tools {

enum class vm_state { Live, Leaving };

struct vm {
  std::string Address;
  std::string FailureDomain;
  vm_state State = vm_state::Live;
};

struct vm_list_error {
  std::string Message;
};

/// Reads `{"vms":[{"address","failure_domain","state"}]}`.
[[nodiscard]] result<std::vector<vm>, vm_list_error>
vmsFromJson(const std::string &Text);

/// Reads items `ADDRESS=FAILURE_DOMAIN`; all are live.
[[nodiscard]] result<std::vector<vm>, vm_list_error>
vmsFromFlag(const std::vector<std::string> &Items);

[[nodiscard]] std::string vmsToJson(const std::vector<vm> &List);

[[nodiscard]] std::string errorJson(const vm_list_error &Error);

} // namespace arbutus::tools

namespace arbutus {

template <> struct name_table<tools::vm_state> {
  static constexpr name_row<tools::vm_state> Rows[] = {
      {tools::vm_state::Live, "live"},
      {tools::vm_state::Leaving, "leaving"},
  };
};

} // namespace arbutus

#endif
