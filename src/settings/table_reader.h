#ifndef ARBUTUS_SETTINGS_TABLE_READER_H
#define ARBUTUS_SETTINGS_TABLE_READER_H

#include "settings/endpoint.h"
#include "settings/settings_error.h"
#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::settings::impl {

enum class presence { Optional, Required };

struct integer_range {
  std::int64_t Least;
  std::int64_t Most;
};

/// Faults found so far in one file.
struct error_list {
  std::string File;
  settings_errors Errors;

  void add(int Line, std::string Key, settings_error_code Code,
           std::string Reason, std::string Suggestion = {});
};

[[nodiscard]] int lineOf(const toml::node &Node) noexcept;

/// Reads the keys of one TOML table and records each fault. Every key that is
/// asked for counts as known; `finish` reports the others.
class table_reader {
public:
  /// `Table` may be null: then all keys are absent, at line `Line`.
  table_reader(const toml::table *Table, std::string Path, int Line,
               error_list &Errors) noexcept;

  [[nodiscard]] std::optional<std::string> text(const std::string &Key,
                                                presence Presence);
  /// Text of 1 to 64 letters, digits, `-`, `_` and `.`.
  [[nodiscard]] std::optional<std::string> name(const std::string &Key,
                                                presence Presence);
  [[nodiscard]] std::optional<std::int64_t>
  integer(const std::string &Key, integer_range Range, presence Presence);
  /// A whole or fractional number.
  [[nodiscard]] std::optional<double>
  number(const std::string &Key, integer_range Range, presence Presence);
  [[nodiscard]] std::optional<bool> boolean(const std::string &Key);
  /// Port 0 is a fault unless `AllowAnyPort`.
  [[nodiscard]] std::optional<endpoint>
  address(const std::string &Key, presence Presence, bool AllowAnyPort);
  /// A path relative to the folder of the settings file.
  [[nodiscard]] std::optional<std::filesystem::path>
  path(const std::string &Key, presence Presence);
  /// Texts of an array, each with its place for later checks.
  struct text_item {
    std::string Value;
    std::string Key;
    int Line;
  };
  [[nodiscard]] std::vector<text_item> texts(const std::string &Key,
                                             presence Presence);
  [[nodiscard]] table_reader table(const std::string &Key);
  [[nodiscard]] std::vector<table_reader> tables(const std::string &Key,
                                                 presence Presence);

  /// True if the table has this key; it then counts as known.
  [[nodiscard]] bool has(const std::string &Key);
  /// Records a fault of a key, at the key's line if it is present.
  void fail(const std::string &Key, settings_error_code Code,
            std::string Reason, std::string Suggestion = {});
  /// Reports keys that nobody has asked for.
  void finish();

private:
  const toml::node *find(const std::string &Key, presence Presence);
  void failType(const std::string &Key, std::string_view Expected,
                const toml::node &Node);
  [[nodiscard]] std::string fullKey(const std::string &Key) const;

  const toml::table *Table;
  std::string Path;
  int Line;
  error_list *Errors;
  std::vector<std::string> Known;
};

} // namespace arbutus::settings::impl

#endif
