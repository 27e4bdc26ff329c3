#ifndef ARBUTUS_STORE_RESOURCE_JSON_H
#define ARBUTUS_STORE_RESOURCE_JSON_H

#include "store/commands.h"
#include "store/field_error.h"
#include "store/forward.h"
#include "store/outcome.h"
#include "store/resource.h"
#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace arbutus::store {

/// A write that was read from JSON, and every fault of it. Fields with faults
/// have their defaults.
struct parsed_put {
  put_command Put;
  std::vector<field_error> Errors;
};

/// `{"kind","name","version","revision","spec"}`, and `team_id`, `upstream_id`
/// or `pool_id` where the kind has a number.
[[nodiscard]] nlohmann::json toJson(const resource &Object);
[[nodiscard]] nlohmann::json toJson(const field_error &Error);
/// The answer to an operator: `outcome`, and those of `object`, `errors` and
/// `referrers` that are set.
[[nodiscard]] nlohmann::json toJson(const command_outcome &Outcome);

/// Reads an object in the form that `toJson` writes. `version` is the expected
/// version (0 if left out); numbers and `revision` are ignored, so that an
/// object can be read, edited and written back. Checks form and values, but not
/// references to other objects, which `allErrors` does.
[[nodiscard]] parsed_put parsePut(const nlohmann::json &Object,
                                  std::string_view RequestId);
/// The same for JSON text.
[[nodiscard]] parsed_put parsePutText(std::string_view Text,
                                      std::string_view RequestId);

/// Every fault of a write that was read: those of `Parsed`, and those that
/// `Store` finds at its current state. Faults that only follow from another
/// one are left out. A write without faults in `Parsed` belongs into the log
/// even if the store finds some: it may be a resend, which gets its first
/// answer.
[[nodiscard]] std::vector<field_error> allErrors(const parsed_put &Parsed,
                                                 const state_machine &Store);

} // namespace arbutus::store

#endif
