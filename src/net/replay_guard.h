#ifndef ARBUTUS_NET_REPLAY_GUARD_H
#define ARBUTUS_NET_REPLAY_GUARD_H

#include "base/clock.h"
#include "net/mesh_frame.h"

#include <cstdint>
#include <unordered_map>

namespace arbutus::net {

/// Remembers the newest incarnation and sequence of each sender. One entry per
/// node that has ever sent an authentic frame, so its size is bounded by the
/// number of nodes that hold the fleet key.
class replay_guard {
public:
  /// True if the frame is newer than all frames seen of its sender. After a
  /// long silence of the sender an older incarnation is accepted too: its wall
  /// clock has gone back across a restart, and the session protocol then tells
  /// it to take a larger one.
  [[nodiscard]] bool accept(const frame_header &Header, instant Now);

private:
  struct newest {
    incarnation Incarnation{};
    std::uint64_t Sequence = 0;
    instant AcceptedAt;
  };

  std::unordered_map<node_id, newest> Senders;
};

} // namespace arbutus::net

#endif
