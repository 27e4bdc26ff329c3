#ifndef ARBUTUS_CONTROL_MESH_PEERS_H
#define ARBUTUS_CONTROL_MESH_PEERS_H

#include "net/peer_mesh.h"
#include "settings/settings.h"

#include <vector>

namespace arbutus::control {

[[nodiscard]] bool containsPeer(const std::vector<net::mesh_peer> &Peers,
                                node_id Node);

/// Returns the voters and peers of the settings, without this node itself.
[[nodiscard]] std::vector<net::mesh_peer>
configuredPeers(const settings::settings &Settings);

} // namespace arbutus::control

#endif
