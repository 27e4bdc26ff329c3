#ifndef ARBUTUS_STORE_CONFIG_RULES_H
#define ARBUTUS_STORE_CONFIG_RULES_H

#include "store/field_error.h"
#include "store/fleet_config.h"

#include <vector>

namespace arbutus::store {

/// Every fault of a configuration: unknown services, two routes for the same
/// host and prefix, routes whose weights add up to 0 or whose timeout is 0,
/// keys that two teams share, names that appear twice.
[[nodiscard]] std::vector<field_error> checkConfig(const fleet_config &Config);

} // namespace arbutus::store

#endif
