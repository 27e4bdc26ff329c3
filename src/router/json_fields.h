#ifndef ARBUTUS_ROUTER_JSON_FIELDS_H
#define ARBUTUS_ROUTER_JSON_FIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace arbutus::router {

/// Unsigned number of a field, or `Default` when it is absent or of another
/// type. An upstream's answer is not trusted to have the right types.
[[nodiscard]] inline std::uint64_t numberOr(const nlohmann::json &Object,
                                            const char *Name,
                                            std::uint64_t Default) {
  const auto Field = Object.find(Name);
  return Field != Object.end() && Field->is_number_unsigned()
             ? Field->get<std::uint64_t>()
             : Default;
}

/// Text of a field, or "" when it is absent or of another type.
[[nodiscard]] inline std::string textOf(const nlohmann::json &Object,
                                        const char *Name) {
  const auto Field = Object.find(Name);
  return Field != Object.end() && Field->is_string() ? Field->get<std::string>()
                                                     : std::string();
}

} // namespace arbutus::router

#endif
