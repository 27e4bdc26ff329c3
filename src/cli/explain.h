#ifndef ARBUTUS_CLI_EXPLAIN_H
#define ARBUTUS_CLI_EXPLAIN_H

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::cli {

/// One log line of `key=value` fields.
struct log_line {
  std::string Node;
  std::string Event;
  /// Microseconds since 1970 by the clock of the VM that wrote it.
  std::int64_t TimeUs = 0;
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Value of a field; empty if the line has no such field.
  [[nodiscard]] std::string_view field(std::string_view Name) const noexcept;
};

/// Parses a log line and skips any prefix of a log collector before its `time`
/// field. Empty if the line is truncated or is not a log line.
[[nodiscard]] std::optional<log_line> parseLogLine(std::string_view Text);

/// Log lines of several VMs that concern one request.
struct request_history {
  /// Lines with the request's id. VMs are sorted by the time of their first
  /// line. The lines of one VM keep the order in which they were written,
  /// because the clocks of VMs differ.
  std::vector<log_line> Lines;
  /// Lines of the same VMs about events other than requests, from 1 s before
  /// the request's first line on the VM to 1 s after its last. They show state
  /// changes that may explain the result, such as a lost peer.
  std::vector<log_line> ContextLines;
  /// Number of lines that contain the request id but cannot be parsed.
  std::size_t TruncatedLineCount = 0;
};

/// Collects the history of a request from logs.
[[nodiscard]] request_history
collectHistory(const std::vector<std::istream *> &Logs,
               std::string_view RequestId);

/// Prints one line per event, with the time since the request's first line on
/// the same VM.
void printHistory(const request_history &History, std::string_view RequestId,
                  std::ostream &Out);

} // namespace arbutus::cli

#endif
