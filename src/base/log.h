#ifndef ARBUTUS_BASE_LOG_H
#define ARBUTUS_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace arbutus {

enum class log_level { Debug, Info, Warning, Error };

/// One key=value pair of a log line. Text with spaces, quotes or control
/// characters is quoted and escaped, so that a value cannot forge a field.
struct log_field {
  std::string_view Key;
  std::string Value;

  log_field(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  log_field(std::string_view Key, const std::string &Value)
      : Key(Key), Value(Value) {}
  log_field(std::string_view Key, bool Value)
      : Key(Key), Value(Value ? "true" : "false") {}
  log_field(std::string_view Key, double Value);
  template <class Integer,
            class = std::enable_if_t<std::is_integral_v<Integer>>>
  log_field(std::string_view Key, Integer Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Sends log lines to `Path`, or to standard error when `Path` is empty.
/// Lines below `Minimum` are dropped. Call once, before threads start.
void openLog(const std::string &Path, log_level Minimum, std::string_view Node);

/// True if a line of this level would be written; guards costly fields.
[[nodiscard]] bool logEnabled(log_level Level) noexcept;

/// Writes one line `time=... level=... node=... event=... key=value ...`.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Writes buffered lines out.
void flushLog();

} // namespace arbutus

#endif
