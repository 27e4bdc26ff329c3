#ifndef ARBUTUS_SETTINGS_SETTINGS_ERROR_H
#define ARBUTUS_SETTINGS_SETTINGS_ERROR_H

#include "base/name_table.h"

#include <string>
#include <vector>

namespace arbutus::settings {

enum class settings_error_code {
  UnreadableFile,
  Syntax,
  UnknownKey,
  MissingKey,
  WrongType,
  OutOfRange,
  InvalidValue,
  Duplicate,
  KeyFile,
};

/// An error in a settings file.
struct settings_error {
  std::string File;
  /// 1-based; 0 for an error without a line, such as an unreadable file.
  int Line = 0;
  /// Dotted path such as `listen.http` or `peer[2].mesh`.
  std::string Key;
  settings_error_code Code = settings_error_code::InvalidValue;
  std::string Reason;
  /// Valid key or value that was probably meant; empty if there is none.
  std::string Suggestion;
};

using settings_errors = std::vector<settings_error>;

/// One line per error: `FILE:LINE: KEY: reason (did you mean "X"?)`.
[[nodiscard]] std::string formatErrors(const settings_errors &Errors);

} // namespace arbutus::settings

namespace arbutus {

template <> struct name_table<settings::settings_error_code> {
  using code = settings::settings_error_code;
  static constexpr name_row<code> Rows[] = {
      {code::UnreadableFile, "unreadable_file"},
      {code::Syntax, "syntax"},
      {code::UnknownKey, "unknown_key"},
      {code::MissingKey, "missing_key"},
      {code::WrongType, "wrong_type"},
      {code::OutOfRange, "out_of_range"},
      {code::InvalidValue, "invalid_value"},
      {code::Duplicate, "duplicate"},
      {code::KeyFile, "key_file"},
  };
};

} // namespace arbutus

#endif
