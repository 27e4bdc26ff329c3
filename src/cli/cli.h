#ifndef ARBUTUS_CLI_CLI_H
#define ARBUTUS_CLI_CLI_H

#include "settings/settings.h"

#include <functional>

namespace arbutus::cli {

/// What a command does with checked settings; returns the exit status.
using settings_function = std::function<int(const settings::settings &)>;

/// Carries out the command line and returns the exit status, see `exit_code`.
/// `Serve` runs the process. `Initialize` prepares the data directory of a new
/// voter for `init`; without it the command is a usage error.
[[nodiscard]] int run(int Argc, const char *const *Argv,
                      const settings_function &Serve,
                      const settings_function &Initialize = {});

} // namespace arbutus::cli

#endif
