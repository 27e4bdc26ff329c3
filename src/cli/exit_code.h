#ifndef ARBUTUS_CLI_EXIT_CODE_H
#define ARBUTUS_CLI_EXIT_CODE_H

namespace arbutus::cli {

/// Exit status of the program, for scripts.
enum class exit_code {
  Ok = 0,
  /// A server has refused the command, for example as a conflict.
  Refused = 1,
  Usage = 2,
  /// A settings, key or resource file is invalid.
  Invalid = 3,
  NoServer = 4,
  /// A write was sent, but its answer is lost: it may be in force.
  Unknown = 5,
};

} // namespace arbutus::cli

#endif
