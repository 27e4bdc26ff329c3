#ifndef ARBUTUS_CLI_COMMAND_LINE_H
#define ARBUTUS_CLI_COMMAND_LINE_H

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::cli {

enum class command_kind {
  Help,
  Version,
  Init,
  Serve,
  Check,
  Get,
  Apply,
  Delete,
  Watch,
  Drain,
  Restore,
  Status,
  Explain,
  Rollout,
};

/// What a command does with the rollout of a service.
enum class rollout_action { Show, Start, Abort };

enum class output_format { Table, Json };

/// A command line that matches the usage.
struct command {
  command_kind Kind = command_kind::Help;
  /// Settings file, or the resource file of `apply`.
  std::string File;
  /// Kind of a resource, as in the paths of the resource API.
  std::string ResourceKind;
  /// Empty for all objects of the kind.
  std::string Name;
  /// Version that `delete` expects; 0 for the current version.
  std::uint64_t Version = 0;
  /// Revision after which `watch` starts.
  std::uint64_t SinceRevision = 0;
  /// False if `watch` starts after the current revision.
  bool HasSinceRevision = false;
  /// `ip:port` or `host:port` of each server, in the order in which they are
  /// tried.
  std::vector<std::string> Servers;
  std::string OperatorKeyFile;
  /// Request id and log files of `explain`; `-` is the standard input.
  std::string RequestId;
  std::vector<std::string> LogFiles;
  rollout_action Rollout = rollout_action::Show;
  /// Software version that a rollout moves a service to, and the time that it
  /// may take.
  std::string SoftwareVersion;
  std::uint64_t DurationSeconds = 0;
  output_format Output = output_format::Table;
};

/// Why a command line does not match the usage.
struct usage_error {
  std::string Reason;
};

/// The help text. docopt parses it as the grammar of the command line.
[[nodiscard]] std::string_view usage() noexcept;

/// Parses the arguments after the program name.
[[nodiscard]] result<command, usage_error>
parseCommandLine(const std::vector<std::string> &Arguments);

} // namespace arbutus::cli

#endif
