#ifndef ARBUTUS_CLI_RESOURCE_FILE_H
#define ARBUTUS_CLI_RESOURCE_FILE_H

#include "base/result.h"
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::cli {

/// One object that `apply` is to bring about.
struct wanted_resource {
  std::string Kind;
  std::string Name;
  /// Complete: fields that the file leaves out have their defaults.
  nlohmann::json Spec;
};

/// Every fault of a resource file, such as `[2].spec.weight: must be positive`.
using resource_file_errors = std::vector<std::string>;

/// Reads a JSON array of `{"kind","name","spec"}` and orders it so that an
/// object comes after those that it may refer to: failure_domain, policy,
/// service, team, upstream.
[[nodiscard]] result<std::vector<wanted_resource>, resource_file_errors>
parseResources(std::string_view Text);

} // namespace arbutus::cli

#endif
