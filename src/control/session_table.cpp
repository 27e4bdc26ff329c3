#include "control/session_table.h"

#include <utility>
namespace arbutus::control {
session_table::session_table(session_timing T) noexcept : Timing(T) {}
void session_table::startTerm(const std::vector<known_node> &Known,
                              instant Now) {
  Sessions.clear();
  Events.clear();
  ++Version;
  for (auto &K : Known) {
    if (Closed[K.Info.Node] >= K.Incarnation)
      continue;
    session S;
    S.Node.Info = K.Info;
    S.Node.Incarnation = K.Incarnation;
    S.Node.Leaving = K.Leaving;
    S.LastHeard = Now;
    Sessions[K.Info.Node] = S;
  }
}
lease_answer session_table::onHeartbeat(const heartbeat &H, instant Now) {
  lease_answer A;
  A.SendTime = H.SendTime;
  if (H.Incarnation <= Closed[H.Info.Node]) {
    A.Closed = Closed[H.Info.Node];
    return A;
  }
  auto It = Sessions.find(H.Info.Node);
  if (It == Sessions.end()) {
    Events.push_back(
        {session_event_kind::Joined, H.Info.Node, H.Incarnation, {}});
    ++Version;
  } else if (It->second.Node.Incarnation < H.Incarnation) {
    Events.push_back({session_event_kind::Restarted, H.Info.Node,
                      It->second.Node.Incarnation, H.Incarnation});
    Closed[H.Info.Node] = It->second.Node.Incarnation;
    ++Version;
  }
  auto &S = Sessions[H.Info.Node];
  if (S.Node.Suspected) {
    ++Version;
    Events.push_back(
        {session_event_kind::Recovered, H.Info.Node, H.Incarnation, {}});
  }
  if (S.Node.Leaving != H.Leaving)
    ++Version;
  S.Node = {H.Info, H.Incarnation, H.Applied, false, H.Leaving};
  S.LastHeard = Now;
  A.Outcome = lease_outcome::Granted;
  A.Lease = Timing.Lease;
  return A;
}
std::vector<session_event> session_table::tick(instant Now) {
  for (auto It = Sessions.begin(); It != Sessions.end();) {
    auto &S = It->second;
    if (Now > S.LastHeard + Timing.Lease + Timing.DriftMargin) {
      Events.push_back(
          {session_event_kind::Ended, It->first, S.Node.Incarnation, {}});
      Closed[It->first] = S.Node.Incarnation;
      ++Version;
      It = Sessions.erase(It);
      continue;
    }
    if (!S.Node.Suspected && Now > S.LastHeard + Timing.SuspectAfter) {
      S.Node.Suspected = true;
      ++Version;
      Events.push_back(
          {session_event_kind::Suspected, It->first, S.Node.Incarnation, {}});
    }
    ++It;
  }
  return std::exchange(Events, {});
}
std::vector<live_node> session_table::liveNodes() const {
  std::vector<live_node> L;
  for (auto &[N, S] : Sessions)
    L.push_back(S.Node);
  return L;
}
std::uint64_t session_table::liveVersion() const noexcept { return Version; }
} // namespace arbutus::control
