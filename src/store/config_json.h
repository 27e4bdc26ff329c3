#ifndef ARBUTUS_STORE_CONFIG_JSON_H
#define ARBUTUS_STORE_CONFIG_JSON_H

#include "store/field_error.h"
#include "store/fleet_config.h"
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// A configuration that was read from JSON, and every fault of it.
struct parsed_config {
  fleet_config Config;
  std::vector<field_error> Errors;
};

/// Reads the fields of a fleet configuration from JSON text and checks them.
/// Takes little more memory than the configuration, whatever the text holds.
[[nodiscard]] parsed_config parseConfigText(std::string_view Text);
/// The text that `parseConfigText` reads.
[[nodiscard]] std::string configText(const fleet_config &Config);
/// The same as a value, which takes several times the memory of the text.
[[nodiscard]] nlohmann::json toJson(const fleet_config &Config);

} // namespace arbutus::store

#endif
