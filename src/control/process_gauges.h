#ifndef ARBUTUS_CONTROL_PROCESS_GAUGES_H
#define ARBUTUS_CONTROL_PROCESS_GAUGES_H

#include "net/body_memory.h"
#include "net/peer_mesh.h"
#include "router/router_context.h"
#include "router/router_metrics.h"

#include <vector>

namespace arbutus::control {

class voter;

/// Sets the gauges whose values are only read when metrics are requested.
/// `Voter` is null in a process that is not a voter.
void updateGauges(router::router_metrics &Metrics,
                  const router::router_context &Context,
                  const net::peer_mesh &Mesh, const voter *Voter);

/// Sets the gauges of the memory that request bodies take, of all I/O threads.
void updateBodyGauges(router::router_metrics &Metrics,
                      const std::vector<const net::body_memory *> &Bodies);

} // namespace arbutus::control

#endif
