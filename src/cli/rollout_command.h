#ifndef ARBUTUS_CLI_ROLLOUT_COMMAND_H
#define ARBUTUS_CLI_ROLLOUT_COMMAND_H

#include "cli/api_client.h"
#include "cli/command_line.h"
#include "cli/operator_command.h"

namespace arbutus::cli {

/// Starts, shows or aborts the rollout of a service.
[[nodiscard]] exit_code runRolloutCommand(const command &Command,
                                          api_client &Client,
                                          const command_output &Output);

} // namespace arbutus::cli

#endif
