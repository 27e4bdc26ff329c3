#include "control/config_pusher.h"

#include <algorithm>

namespace arbutus::control {

namespace {

/// A full configuration is sent as several updates of at most this size.
constexpr std::size_t MaxUpdateBytes = std::size_t{256} * 1024;
/// Updates that one call of `makeUpdates` returns for a node.
constexpr int MaxUpdatesPerNode = 8;
/// Time after which an unconfirmed update is resent.
constexpr duration ResendTimeout = 500ms;

} // namespace

void config_pusher::reset() noexcept {
  Nodes.clear();
  RecentRevisions.clear();
}

void config_pusher::onPosition(node_id Node,
                               const store::config_position &Position,
                               instant Now) {
  auto &State = Nodes[Node];
  const bool Behind = Position.Revision < State.Position.Revision ||
                      Position.ListOffset < State.Position.ListOffset;
  if (State.HasUnconfirmedUpdate && Behind &&
      Now < State.OldestUnconfirmedAt + ResendTimeout) {
    return; // The update may still arrive; the report is older than it.
  }
  State.Position = Position;
  State.HasUnconfirmedUpdate = false;
}

std::vector<std::pair<node_id, store::config_update>>
config_pusher::makeUpdates(const store::state_machine &Store, instant Now) {
  recordRevision(Store, Now);
  std::vector<std::pair<node_id, store::config_update>> Updates;
  for (auto &[Node, State] : Nodes) {
    for (int I = 0; I < MaxUpdatesPerNode; ++I) {
      if (State.Position.Revision == Store.currentRevision()) {
        break;
      }
      auto Update = Source.makeUpdate(Store, State.Position, MaxUpdateBytes);
      if (Update.empty()) {
        break;
      }
      State.Position = store::positionAfter(State.Position, Update);
      // The resend timer starts with the oldest unconfirmed update. Restarting
      // it with each update would delay the resend of a lost one for as long as
      // the configuration keeps changing.
      if (!State.HasUnconfirmedUpdate) {
        State.OldestUnconfirmedAt = Now;
      }
      State.HasUnconfirmedUpdate = true;
      Updates.emplace_back(Node, std::move(Update));
    }
  }
  return Updates;
}

bool config_pusher::isCurrentEnoughForLease(revision Applied,
                                            const store::state_machine &Store,
                                            instant Now) {
  recordRevision(Store, Now);
  return std::none_of(
      RecentRevisions.begin(), RecentRevisions.end(), [&](const auto &Entry) {
        return Entry.first > Applied && Entry.second + LeaseRevisionGrace < Now;
      });
}

void config_pusher::recordRevision(const store::state_machine &Store,
                                   instant Now) {
  const revision Newest = Store.currentRevision();
  if (number(Newest) != 0 &&
      (RecentRevisions.empty() || RecentRevisions.back().first < Newest)) {
    RecentRevisions.emplace_back(Newest, Now);
  }
  // Of the revisions whose grace period is over, only the newest is needed.
  while (RecentRevisions.size() > 1 &&
         RecentRevisions[1].second + LeaseRevisionGrace < Now) {
    RecentRevisions.pop_front();
  }
}

} // namespace arbutus::control
