#ifndef ARBUTUS_CONTROL_SERVER_H
#define ARBUTUS_CONTROL_SERVER_H

#include "settings/settings.h"

namespace arbutus::control {

/// Runs a process with the roles of its settings until it is told to stop.
/// Returns the exit status: 0 after a graceful end, 1 when the process could
/// not start.
[[nodiscard]] int runServer(const settings::settings &Settings);

} // namespace arbutus::control

#endif
