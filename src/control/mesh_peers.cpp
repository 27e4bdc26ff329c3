#include "control/mesh_peers.h"

#include <algorithm>

namespace arbutus::control {

bool containsPeer(const std::vector<net::mesh_peer> &Peers, node_id Node) {
  return std::any_of(Peers.begin(), Peers.end(),
                     [&](const auto &Peer) { return Peer.Node == Node; });
}

std::vector<net::mesh_peer>
configuredPeers(const settings::settings &Settings) {
  std::vector<net::mesh_peer> Peers;
  for (const auto &Voter : Settings.Fleet.InitialVoters) {
    if (Voter.Id != Settings.Node.Id) {
      Peers.push_back({Voter.Id, Voter.Mesh.toString()});
    }
  }
  for (const auto &Peer : Settings.Peers) {
    if (!containsPeer(Peers, Peer.Id)) {
      Peers.push_back({Peer.Id, Peer.Mesh.toString()});
    }
  }
  return Peers;
}

} // namespace arbutus::control
