#ifndef ARBUTUS_CLI_OPERATOR_COMMAND_H
#define ARBUTUS_CLI_OPERATOR_COMMAND_H

#include "cli/api_client.h"
#include "cli/command_line.h"
#include "cli/exit_code.h"

#include <ostream>

namespace arbutus::cli {

/// Streams for the result and the errors of a command.
struct command_output {
  std::ostream &Out;
  std::ostream &Error;
};

/// Runs a command that sends requests to servers. `watch` returns only after an
/// error.
[[nodiscard]] exit_code runOperatorCommand(const command &Command,
                                           api_client &Client,
                                           const command_output &Output);

} // namespace arbutus::cli

#endif
