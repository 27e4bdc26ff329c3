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
  std::int64_t Min;
  std::int64_t Max;
};

/// Errors found so far in one file.
struct error_list {
  std::string File;
  settings_errors Errors;

  void add(int Line, std::string Key, settings_error_code Code,
           std::string Reason, std::string Suggestion = {});
};

[[nodiscard]] int lineOf(const toml::node &Node) noexcept;

/// Reads the keys of one TOML table and records errors. Every key that is read
/// counts as known; `reportUnknownKeys` records an error for each other key.
/// The read functions return nothing for an absent or invalid value.
class table_reader {
public:
  /// A null `Table` has no keys; errors about missing keys are then reported at
  /// `Line`.
  table_reader(const toml::table *Table, std::string Path, int Line,
               error_list &Errors) noexcept;

  [[nodiscard]] std::optional<std::string> string(const std::string &Key,
                                                  presence Presence);
  /// Reads a string of 1 to 64 letters, digits, `-`, `_` and `.`.
  [[nodiscard]] std::optional<std::string> name(const std::string &Key,
                                                presence Presence);
  [[nodiscard]] std::optional<std::int64_t>
  integer(const std::string &Key, integer_range Range, presence Presence);
  /// Reads an integer or a floating-point number.
  [[nodiscard]] std::optional<double>
  number(const std::string &Key, integer_range Range, presence Presence);
  [[nodiscard]] std::optional<bool> boolean(const std::string &Key);
  /// Reads an endpoint. Port 0 is an error unless `AllowAnyPort`.
  [[nodiscard]] std::optional<endpoint>
  address(const std::string &Key, presence Presence, bool AllowAnyPort);
  /// Reads a path and resolves it against the folder of the settings file.
  [[nodiscard]] std::optional<std::filesystem::path>
  path(const std::string &Key, presence Presence);
  /// An element of an array of strings, with its position for error messages.
  struct string_item {
    std::string Value;
    std::string KeyPath;
    int Line;
  };
  [[nodiscard]] std::vector<string_item> strings(const std::string &Key,
                                                 presence Presence);
  [[nodiscard]] table_reader table(const std::string &Key);
  [[nodiscard]] std::vector<table_reader> tables(const std::string &Key,
                                                 presence Presence);

  /// True if the table has this key. The key counts as known.
  [[nodiscard]] bool has(const std::string &Key);
  /// Records an error for a key, at its line if the key is present.
  void addError(const std::string &Key, settings_error_code Code,
                std::string Reason, std::string Suggestion = {});
  /// Records an error for each key that has not been read.
  void reportUnknownKeys();

private:
  const toml::node *find(const std::string &Key, presence Presence);
  void addTypeError(const std::string &Key, std::string_view Expected,
                    const toml::node &Node);
  [[nodiscard]] std::string fullKey(const std::string &Key) const;

  const toml::table *Table;
  std::string Path;
  int Line;
  error_list *Errors;
  std::vector<std::string> RequestedKeys;
};

} // namespace arbutus::settings::impl

#endif
