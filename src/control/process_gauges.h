#ifndef ARBUTUS_CONTROL_PROCESS_GAUGES_H
#define ARBUTUS_CONTROL_PROCESS_GAUGES_H

#include "net/peer_mesh.h"
#include "router/router_context.h"
#include "router/router_metrics.h"

namespace arbutus::control {

class voter;

/// Sets the gauges that are read when metrics are asked for. `Voter` is null in
/// a process that is none.
void fillGauges(router::router_metrics &Metrics,
                const router::router_context &Context,
                const net::peer_mesh &Mesh, const voter *Voter);

} // namespace arbutus::control

#endif
