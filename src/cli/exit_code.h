#ifndef ARBUTUS_CLI_EXIT_CODE_H
#define ARBUTUS_CLI_EXIT_CODE_H

namespace arbutus::cli {

/// Exit status of the program. Scripts rely on the values.
enum class exit_code {
  Ok = 0,
  /// A server rejected the command, for example because of a conflict, or
  /// `explain` found no line of the request.
  Rejected = 1,
  Usage = 2,
  /// A settings, key, resource or log file is invalid or cannot be read.
  Invalid = 3,
  /// No server was reached, or none could execute the command.
  NoServer = 4,
  /// A write was sent, but its response was lost. The write may have been
  /// executed.
  UnknownOutcome = 5,
};

} // namespace arbutus::cli

#endif
