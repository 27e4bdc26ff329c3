#ifndef ARBUTUS_ROUTER_JSON_FIELDS_H
#define ARBUTUS_ROUTER_JSON_FIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace arbutus::router {

/// Returns the unsigned number of a field, or `Default` if it is absent or of
/// another type, because an upstream's response may contain any types.
[[nodiscard]] inline std::uint64_t unsignedFieldOr(const nlohmann::json &Object,
                                                   const char *Name,
                                                   std::uint64_t Default) {
  const auto Field = Object.find(Name);
  return Field != Object.end() && Field->is_number_unsigned()
             ? Field->get<std::uint64_t>()
             : Default;
}

/// Returns the string of a field, or "" if it is absent or of another type.
[[nodiscard]] inline std::string
stringFieldOrEmpty(const nlohmann::json &Object, const char *Name) {
  const auto Field = Object.find(Name);
  return Field != Object.end() && Field->is_string() ? Field->get<std::string>()
                                                     : std::string();
}

} // namespace arbutus::router

#endif
