#ifndef ARBUTUS_BASE_LOG_H
#define ARBUTUS_BASE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace arbutus {

enum class log_level { Debug, Info, Warning, Error };

/// One key=value pair of a log line. Values with spaces, quotes or control
/// characters are quoted and escaped, so that a value cannot forge a field.
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

/// Sends log lines to `Path`, or to standard output when `Path` is empty.
/// Lines below `Minimum` are dropped; `Node` is the `node` field of every line.
/// Call once, before threads start. Throws std::system_error when the file
/// cannot be opened.
void openLog(const std::string &Path, log_level Minimum, std::string_view Node);

/// True if the minimum level admits lines of this level. Check it before
/// computing costly fields.
[[nodiscard]] bool logEnabled(log_level Level) noexcept;

/// Writes one line `time=... level=... node=... event=... key=value ...`. It
/// never blocks on the output. Lines above a rate limit are suppressed; a line
/// `log_lines_left_out` reports their number.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Writes a line about a successful request. Such lines have their own, lower
/// rate limit, so that under load they do not displace lines about failures.
void logRoutine(std::string_view Event,
                std::initializer_list<log_field> Fields);

/// Waits until buffered lines are written, but at most 1 s for a blocked
/// output.
void flushLog();

} // namespace arbutus

#endif
