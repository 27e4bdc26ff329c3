#include "store/outcome.h"

#include "store/resource_json.h"
#include <nlohmann/json.hpp>

namespace arbutus::store {

std::string describe(const command_outcome &Outcome) {
  // Answers and keys are bytes of callers and need not be valid UTF-8.
  return toJson(Outcome).dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace);
}

} // namespace arbutus::store
