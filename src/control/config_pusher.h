#ifndef ARBUTUS_CONTROL_CONFIG_PUSHER_H
#define ARBUTUS_CONTROL_CONFIG_PUSHER_H

#include "base/clock.h"
#include "store/config_source.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace arbutus::control {

/// Sends configuration updates to all nodes while this voter leads, and decides
/// whether a node's configuration is recent enough for a lease. Does no I/O;
/// the current time is always an argument.
class config_pusher {
public:
  /// Removes all nodes. Called at the start of a term.
  void reset() noexcept;

  /// Records the configuration position that a node has reported.
  void onPosition(node_id Node, const store::config_position &Position,
                  instant Now);

  /// Removes a node whose session has ended.
  void remove(node_id Node) noexcept { Nodes.erase(Node); }

  /// Returns the updates to send now; a node may get several.
  [[nodiscard]] std::vector<std::pair<node_id, store::config_update>>
  makeUpdates(const store::state_machine &Store, instant Now);

  /// True if a node that has applied `Applied` may get a lease: it lacks no
  /// revision that was committed more than `LeaseRevisionGrace` ago. Lease and
  /// grace period together stay below the 3 s within which a change must be in
  /// force.
  [[nodiscard]] bool isCurrentEnoughForLease(revision Applied,
                                             const store::state_machine &Store,
                                             instant Now);

  static constexpr duration LeaseRevisionGrace = 150ms;

private:
  struct node_state {
    store::config_position Position;
    /// When the oldest update that the node has not confirmed was sent.
    instant OldestUnconfirmedAt;
    bool HasUnconfirmedUpdate = false;
  };

  void recordRevision(const store::state_machine &Store, instant Now);

  std::map<node_id, node_state> Nodes;
  store::config_source Source;
  /// The newest revisions, each with the time at which this voter saw it.
  std::deque<std::pair<revision, instant>> RecentRevisions;
};

} // namespace arbutus::control

#endif
