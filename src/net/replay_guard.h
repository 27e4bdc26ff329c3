#ifndef ARBUTUS_NET_REPLAY_GUARD_H
#define ARBUTUS_NET_REPLAY_GUARD_H

#include "net/mesh_frame.h"

#include <cstdint>
#include <unordered_map>

namespace arbutus::net {

/// Remembers the newest incarnation and sequence of each sender. One entry per
/// node that has ever sent an authentic frame, so its size is bounded by the
/// number of nodes that hold the fleet key.
class replay_guard {
public:
  /// True if the frame is newer than all frames seen of its sender.
  [[nodiscard]] bool accept(const frame_header &Header);

private:
  struct newest {
    incarnation Incarnation{};
    std::uint64_t Sequence = 0;
  };

  std::unordered_map<node_id, newest> Senders;
};

} // namespace arbutus::net

#endif
