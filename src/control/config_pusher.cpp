#include "control/config_pusher.h"

#include <algorithm>

namespace arbutus::control {

namespace {

/// Most bytes of one update; a full list goes out in parts.
constexpr std::size_t MostUpdateBytes = std::size_t{256} * 1024;
/// Updates sent to one node before it has to report its position.
constexpr int MostUpdatesPerNode = 8;
/// Time after which an unconfirmed push is repeated.
constexpr duration RepeatAfter = 500ms;

} // namespace

void config_pusher::reset() noexcept {
  Nodes.clear();
  Seen.clear();
}

void config_pusher::onPosition(node_id Node,
                               const store::config_position &Position,
                               instant Now) {
  auto &State = Nodes[Node];
  const bool Behind = Position.Revision < State.Position.Revision ||
                      Position.ListOffset < State.Position.ListOffset;
  if (State.Pushed && Behind && Now < State.FirstPush + RepeatAfter) {
    return; // the push is on its way
  }
  State.Position = Position;
  State.Pushed = false;
}

std::vector<std::pair<node_id, store::config_update>>
config_pusher::makeUpdates(const store::state_machine &Store, instant Now) {
  noteRevision(Store, Now);
  std::vector<std::pair<node_id, store::config_update>> Updates;
  for (auto &[Node, State] : Nodes) {
    for (int I = 0; I < MostUpdatesPerNode; ++I) {
      if (State.Position.Revision == Store.currentRevision()) {
        break;
      }
      auto Update = Source.makeUpdate(Store, State.Position, MostUpdateBytes);
      if (Update.empty()) {
        break;
      }
      State.Position = store::positionAfter(State.Position, Update);
      // The oldest unconfirmed push counts: later ones must not put off the
      // repetition of one that was lost.
      if (!State.Pushed) {
        State.FirstPush = Now;
      }
      State.Pushed = true;
      Updates.emplace_back(Node, std::move(Update));
    }
  }
  return Updates;
}

bool config_pusher::currentEnough(revision Applied,
                                  const store::state_machine &Store,
                                  instant Now) {
  noteRevision(Store, Now);
  return std::none_of(Seen.begin(), Seen.end(), [&](const auto &Entry) {
    return Entry.first > Applied && Entry.second + Grace < Now;
  });
}

void config_pusher::noteRevision(const store::state_machine &Store,
                                 instant Now) {
  const revision Newest = Store.currentRevision();
  if (number(Newest) != 0 && (Seen.empty() || Seen.back().first < Newest)) {
    Seen.emplace_back(Newest, Now);
  }
  // Of revisions beyond their grace only the newest matters.
  while (Seen.size() > 1 && Seen[1].second + Grace < Now) {
    Seen.pop_front();
  }
}

} // namespace arbutus::control
