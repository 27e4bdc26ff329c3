#ifndef ARBUTUS_CONTROL_CONFIG_PUSHER_H
#define ARBUTUS_CONTROL_CONFIG_PUSHER_H

#include "base/clock.h"
#include "store/config_source.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace arbutus::control {

/// Keeps the configuration of all nodes current while this voter leads, and
/// decides whether a node is current enough for a lease. Pure; the clock is an
/// argument.
class config_pusher {
public:
  /// Forgets all nodes; a new term begins.
  void reset() noexcept;

  /// Notes the position that a node has reported.
  void onPosition(node_id Node, const store::config_position &Position,
                  instant Now);

  /// Forgets a node whose session has ended.
  void remove(node_id Node) noexcept { Nodes.erase(Node); }

  /// Updates to send now, one or more a node.
  [[nodiscard]] std::vector<std::pair<node_id, store::config_update>>
  makeUpdates(const store::state_machine &Store, instant Now);

  /// True if a node that has `Applied` in force may be given a lease: it lacks
  /// no revision that was committed more than `Grace` ago. The lease and the
  /// grace together stay below the 3 s within which a change must be in force.
  [[nodiscard]] bool currentEnough(revision Applied,
                                   const store::state_machine &Store,
                                   instant Now);

  static constexpr duration Grace = 150ms;

private:
  struct node_state {
    store::config_position Position;
    /// When the oldest push went out that the node has not confirmed.
    instant FirstPush;
    bool Pushed = false;
  };

  void noteRevision(const store::state_machine &Store, instant Now);

  std::map<node_id, node_state> Nodes;
  store::config_source Source;
  /// When each of the newest revisions was first seen here.
  std::deque<std::pair<revision, instant>> Seen;
};

} // namespace arbutus::control

#endif
