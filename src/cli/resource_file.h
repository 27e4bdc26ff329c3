#ifndef ARBUTUS_CLI_RESOURCE_FILE_H
#define ARBUTUS_CLI_RESOURCE_FILE_H

#include "base/result.h"
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::cli {

/// An object that `apply` creates or changes.
struct desired_resource {
  std::string Kind;
  std::string Name;
  /// All fields; those that the file omits have their default values.
  nlohmann::json Spec;
};

/// All errors of a resource file, such as `[2].spec.weight: must be positive`.
using resource_file_errors = std::vector<std::string>;

/// Parses a JSON array of `{"kind","name","spec"}` and sorts it by kind, so
/// that an object follows those that it may refer to: failure_domain, policy,
/// service, team, upstream.
[[nodiscard]] result<std::vector<desired_resource>, resource_file_errors>
parseResources(std::string_view Text);

} // namespace arbutus::cli

#endif
