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
  ForeignOwner,
  OpenToOthers,
  TooShort,
  TooLong,
};

/// Shorter keys could be guessed from recorded frames.
inline constexpr std::size_t ShortestKeyBytes = 16;
/// Bounds memory when the path names a wrong file.
inline constexpr std::size_t LongestKeyBytes = 4096;

/// Reads a secret from a regular file that belongs to the user of this process
/// and that nobody else may read or write. Line ends after the key are
/// removed.
[[nodiscard]] result<std::string, key_file_error>
readKeyFile(const std::filesystem::path &File);

/// A sentence fragment for messages, such as "is shorter than 16 bytes".
[[nodiscard]] std::string_view errorMessage(key_file_error Error) noexcept;

} // namespace arbutus::settings

namespace arbutus {

template <> struct name_table<settings::key_file_error> {
  using code = settings::key_file_error;
  static constexpr name_row<code> Rows[] = {
      {code::Unreadable, "unreadable"},
      {code::NotRegular, "not_regular"},
      {code::ForeignOwner, "foreign_owner"},
      {code::OpenToOthers, "open_to_others"},
      {code::TooShort, "too_short"},
      {code::TooLong, "too_long"},
  };
};

} // namespace arbutus

#endif
