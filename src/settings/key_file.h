#ifndef ARBUTUS_SETTINGS_KEY_FILE_H
#define ARBUTUS_SETTINGS_KEY_FILE_H

#include "base/name_table.h"
#include "base/result.h"

#include <cstddef>
#include <filesystem>
#include <string>
#include <string_view>

namespace arbutus::settings {

enum class key_file_error {
  Unreadable,
  NotRegular,
  WrongOwner,
  InsecurePermissions,
  TooShort,
  TooLong,
};

/// Shorter keys could be found by brute force from recorded frames.
inline constexpr std::size_t MinKeyBytes = 16;
/// Bounds the memory used when the path names another file by mistake.
inline constexpr std::size_t MaxKeyBytes = 4096;

/// Reads a secret from a regular file that belongs to the user of this process
/// and that only its owner can access. Trailing line ends are removed.
[[nodiscard]] result<std::string, key_file_error>
readKeyFile(const std::filesystem::path &File);

/// Returns a predicate for messages that begin with the path, such as "is not a
/// regular file".
[[nodiscard]] std::string_view errorMessage(key_file_error Error) noexcept;

} // namespace arbutus::settings

namespace arbutus {

template <> struct name_table<settings::key_file_error> {
  using code = settings::key_file_error;
  static constexpr name_row<code> Rows[] = {
      {code::Unreadable, "unreadable"},
      {code::NotRegular, "not_regular"},
      {code::WrongOwner, "foreign_owner"},
      {code::InsecurePermissions, "open_to_others"},
      {code::TooShort, "too_short"},
      {code::TooLong, "too_long"},
  };
};

} // namespace arbutus

#endif
