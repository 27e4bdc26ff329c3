#ifndef ARBUTUS_BASE_NAME_TABLE_H
#define ARBUTUS_BASE_NAME_TABLE_H

#include <optional>
#include <string_view>

namespace arbutus {

/// One entry of a `name_table`.
template <class Enum> struct name_row {
  Enum Value;
  std::string_view Name;
};

/// Names of the values of an enumeration. Specialize it with a static array
/// `Rows`:
///
///   template <> struct name_table<colour> {
///     static constexpr name_row<colour> Rows[] = {{colour::Red, "red"}};
///   };
template <class Enum> struct name_table;

/// Returns the name of a value, or "invalid" if the table does not hold it.
template <class Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum Value) noexcept {
  for (const auto &Row : name_table<Enum>::Rows) {
    if (Row.Value == Value) {
      return Row.Name;
    }
  }
  return "invalid";
}

/// Returns the value with this name; nothing if there is none.
template <class Enum>
[[nodiscard]] constexpr std::optional<Enum>
valueOf(std::string_view Name) noexcept {
  for (const auto &Row : name_table<Enum>::Rows) {
    if (Row.Name == Name) {
      return Row.Value;
    }
  }
  return std::nullopt;
}

} // namespace arbutus

#endif
