#ifndef ARBUTUS_BASE_JSON_READER_H
#define ARBUTUS_BASE_JSON_READER_H

#include "base/name_table.h"
#include "base/result.h"
#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <functional>
#include <string_view>

namespace arbutus {

/// Largest memory of the values of one text unless the process sets another.
inline constexpr std::size_t DefaultJsonMemoryBytes = std::size_t{16} << 20U;
/// Largest number of objects and arrays that are open at once in one text.
inline constexpr std::size_t MaxJsonDepth = 128;

/// Why a JSON text was not read.
enum class json_error {
  Malformed, ///< not JSON, or cut short
  TooDeep,   ///< nested deeper than the limit
  TooLarge,  ///< its values need more memory than the limit
  Rejected,  ///< the receiver of its lists has stopped
};

/// Bounds of what one text is read into. A byte of text may become some 80
/// bytes of memory, so the length of the text does not bound it.
struct json_limits {
  std::size_t MaxDepth = MaxJsonDepth;
  /// Estimated bytes of the values that exist at once.
  std::size_t MaxBytes = DefaultJsonMemoryBytes;
};

/// Receives the elements of lists one by one, so that a long list is never in
/// memory as a whole. Only lists that are fields of the outermost object are
/// offered; the value that is read holds an empty array in their place.
struct json_list_receiver {
  /// A list begins. Returns whether `OnElement` wants its elements.
  std::function<bool(std::string_view Field)> OnList;
  /// The next element of the latest list. False ends the reading.
  std::function<bool(const nlohmann::json &Element)> OnElement;
};

/// Sets the memory for the values of one text, for all threads of the process.
/// It belongs to the process like the settings of its heap.
void setJsonMemory(std::size_t MaxBytes) noexcept;

/// The limits of this process.
[[nodiscard]] json_limits jsonLimits() noexcept;

/// Reads a JSON text within limits. Nothing is built once a limit is passed,
/// and a text that passes one is logged.
[[nodiscard]] result<nlohmann::json, json_error>
readJson(std::string_view Text, const json_limits &Limits,
         const json_list_receiver &Lists = {});

/// Reads a JSON text within the limits of this process. Returns a discarded
/// value, which has no type, if the text cannot be read.
[[nodiscard]] nlohmann::json parseJson(std::string_view Text);

template <> struct name_table<json_error> {
  static constexpr name_row<json_error> Rows[] = {
      {json_error::Malformed, "malformed"},
      {json_error::TooDeep, "too_deep"},
      {json_error::TooLarge, "too_large"},
      {json_error::Rejected, "rejected"},
  };
};

} // namespace arbutus

#endif
