#ifndef ARBUTUS_CONTROL_PROCESS_GAUGES_H
#define ARBUTUS_CONTROL_PROCESS_GAUGES_H

#include "net/peer_mesh.h"
#include "router/router_context.h"
#include "router/router_metrics.h"

namespace arbutus::control {

class voter;

/// Sets the gauges whose values are only read when metrics are requested.
/// `Voter` is null in a process that is not a voter.
void updateGauges(router::router_metrics &Metrics,
                  const router::router_context &Context,
                  const net::peer_mesh &Mesh, const voter *Voter);

} // namespace arbutus::control

#endif
