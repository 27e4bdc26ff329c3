#ifndef ARBUTUS_CLI_OPERATOR_COMMAND_H
#define ARBUTUS_CLI_OPERATOR_COMMAND_H

#include "cli/api_client.h"
#include "cli/command_line.h"
#include "cli/exit_code.h"

#include <ostream>

namespace arbutus::cli {

/// Where a command writes its result and its faults.
struct command_output {
  std::ostream &Out;
  std::ostream &Error;
};

/// Carries out a command that calls servers. `watch` ends only with a fault.
[[nodiscard]] exit_code runOperatorCommand(const command &Command,
                                           api_client &Client,
                                           const command_output &Output);

} // namespace arbutus::cli

#endif
