#ifndef ARBUTUS_CONTROL_MESH_PEERS_H
#define ARBUTUS_CONTROL_MESH_PEERS_H

#include "net/peer_mesh.h"
#include "settings/settings.h"

#include <vector>

namespace arbutus::control {

/// True if the node is among the peers.
[[nodiscard]] bool lists(const std::vector<net::mesh_peer> &Peers,
                         node_id Node);

/// The processes that the settings name: the voters and other peers.
[[nodiscard]] std::vector<net::mesh_peer>
configuredPeers(const settings::settings &Settings);

} // namespace arbutus::control

#endif
