#ifndef ARBUTUS_CONTROL_SERVER_H
#define ARBUTUS_CONTROL_SERVER_H

#include "settings/settings.h"
#include "traffic/platform_adapter.h"

namespace arbutus::control {

/// Runs a process with the roles of its settings until SIGTERM or SIGINT.
/// `Adapter` translates between the platform's formats and this program's; with
/// null the gateway and discovery are off. Returns the exit status: 0 after a
/// shutdown, 1 when the process could not start.
[[nodiscard]] int runServer(const settings::settings &Settings,
                            const traffic::platform_adapter *Adapter);

} // namespace arbutus::control

#endif
