#ifndef ARBUTUS_TOOLS_COMMON_FLAGS_H
#define ARBUTUS_TOOLS_COMMON_FLAGS_H

#include "base/clock.h"
#include <docopt/docopt.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::tools {

/// Command-line flags by a docopt usage text. Bad flags print an error to
/// standard error and exit with status 2.
class flags {
public:
  flags(const char *Usage, int Count, char **Arguments);

  [[nodiscard]] bool given(const std::string &Name) const;
  [[nodiscard]] std::string text(const std::string &Name) const;
  [[nodiscard]] std::int64_t integer(const std::string &Name) const;
  /// Number from 0 to 100, possibly with a fraction.
  [[nodiscard]] double percent(const std::string &Name) const;
  [[nodiscard]] std::uint16_t port(const std::string &Name) const;
  /// Flag in milliseconds, possibly with a fraction.
  [[nodiscard]] duration millis(const std::string &Name) const;
  /// Flag in seconds, possibly with a fraction.
  [[nodiscard]] duration seconds(const std::string &Name) const;
  /// Position of the value among the allowed ones.
  [[nodiscard]] std::size_t
  choice(const std::string &Name,
         const std::vector<std::string> &Allowed) const;
  /// Comma-separated list without empty items.
  [[nodiscard]] std::vector<std::string> list(const std::string &Name) const;

private:
  [[nodiscard]] double real(const std::string &Name) const;

  std::map<std::string, docopt::value> Values;
};

/// Splits at a separator and drops empty items.
[[nodiscard]] std::vector<std::string> splitList(std::string_view Text,
                                                 char Separator);

} // namespace arbutus::tools

#endif
