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

/// One `key=value` line of a process's log.
struct log_line {
  std::string Node;
  std::string Event;
  /// Microseconds since 1970 by the clock of the VM that wrote it.
  std::int64_t Time = 0;
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Value of a field, empty if it has none.
  [[nodiscard]] std::string_view field(std::string_view Name) const noexcept;
};

/// Reads a line, whatever a log collector has put before its `time`. Empty for
/// a line that is cut or is no log line.
[[nodiscard]] std::optional<log_line> parseLogLine(std::string_view Text);

/// What the logs of several VMs say about one request.
struct request_story {
  /// Lines with the request's id: the VMs by their first line, the lines of a
  /// VM in the order in which it wrote them, since clocks differ.
  std::vector<log_line> Lines;
  /// Lines of the same VMs, without a request's id, from a second before the
  /// request's first line to a second after its last: what the process lost,
  /// regained or came to believe meanwhile.
  std::vector<log_line> Around;
  /// Lines that name the request but are cut.
  std::size_t Unreadable = 0;
};

/// Gathers the story of a request from logs.
[[nodiscard]] request_story gatherStory(const std::vector<std::istream *> &Logs,
                                        std::string_view RequestId);

/// Prints a story, a line an event, with times since the first line of the same
/// VM.
void printStory(const request_story &Story, std::string_view RequestId,
                std::ostream &Out);

} // namespace arbutus::cli

#endif
