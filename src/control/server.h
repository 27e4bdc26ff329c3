#ifndef ARBUTUS_CONTROL_SERVER_H
#define ARBUTUS_CONTROL_SERVER_H

#include "settings/settings.h"
#include "traffic/platform_adapter.h"

namespace arbutus::control {

/// Runs a process with the roles of its settings until it is told to stop.
/// `Adapter` translates for the site's own callers and platform; null serves
/// only the product's interface. Returns the exit status: 0 after a graceful
/// end, 1 when the process could not start.
[[nodiscard]] int runServer(const settings::settings &Settings,
                            const traffic::platform_adapter *Adapter);

} // namespace arbutus::control

#endif
