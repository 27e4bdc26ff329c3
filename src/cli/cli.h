#ifndef ARBUTUS_CLI_CLI_H
#define ARBUTUS_CLI_CLI_H

#include "settings/settings.h"

#include <functional>

namespace arbutus::cli {

/// Runs a command with validated settings and returns the exit status.
using settings_handler = std::function<int(const settings::settings &)>;

/// Runs the command line and returns the exit status, see `exit_code`. `Serve`
/// runs the server process. `Initialize` prepares the data directory of a new
/// voter for `init`. If `Initialize` is empty, `init` is a usage error.
[[nodiscard]] int run(int Argc, const char *const *Argv,
                      const settings_handler &Serve,
                      const settings_handler &Initialize = {});

} // namespace arbutus::cli

#endif
