#include "membership/session_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutus::membership {

session_table::session_table(session_timing Timing) noexcept : Timing(Timing) {}

void session_table::startTerm(const std::vector<prior_session> &Known,
                              instant Now) {
  Sessions.clear();
  Events.clear();
  for (const auto &Node : Known) {
    if (number(Node.LastEndedIncarnation) != 0) {
      markEnded(Node.Info.Node, Node.LastEndedIncarnation);
    }
    const auto Ended = EndedIncarnations.find(Node.Info.Node);
    const bool IsEnded =
        Ended != EndedIncarnations.end() && Node.Incarnation <= Ended->second;
    if (number(Node.Incarnation) == 0 || IsEnded) {
      continue;
    }
    Sessions[Node.Info.Node] = {
        {Node.Info, Node.Incarnation, revision{}, false, Node.Leaving}, Now};
  }
  ++Version;
}

lease_reply session_table::onHeartbeat(const heartbeat &Heartbeat,
                                       instant Now) {
  const node_id Node = Heartbeat.Info.Node;
  const auto Granted = lease_reply{lease_outcome::Granted, Timing.Lease,
                                   Heartbeat.SendTimeMicros, incarnation{}};
  const auto Rejected = [&](incarnation Newest) {
    return lease_reply{lease_outcome::IncarnationClosed, duration::zero(),
                       Heartbeat.SendTimeMicros, Newest};
  };
  if (const auto Ended = EndedIncarnations.find(Node);
      Ended != EndedIncarnations.end() &&
      Heartbeat.Incarnation <= Ended->second) {
    return Rejected(Ended->second);
  }
  const live_node Next{Heartbeat.Info, Heartbeat.Incarnation,
                       Heartbeat.AppliedRevision, false, Heartbeat.Leaving};
  const auto Found = Sessions.find(Node);
  if (Found == Sessions.end()) {
    Sessions[Node] = {Next, Now};
    Events.push_back({session_event_kind::Joined, Node, Next.Incarnation, {}});
    ++Version;
    if (Next.Leaving) {
      Events.push_back(
          {session_event_kind::Leaving, Node, Next.Incarnation, {}});
    }
    return Granted;
  }
  auto &Session = Found->second;
  const auto Current = Session.Node.Incarnation;
  if (Heartbeat.Incarnation < Current) {
    // The older incarnation ended when the newer one began.
    return Rejected(Current);
  }
  if (Now - Session.LastContactAt >= Timing.Lease + Timing.DriftMargin &&
      Heartbeat.Incarnation == Current) {
    // The holder's lease has expired even if `tick` has not run since. The
    // session ends here, so that the outcome does not depend on which is
    // called first.
    endSession(Found);
    return Rejected(Current);
  }
  Session.LastContactAt = std::max(Session.LastContactAt, Now);
  if (Heartbeat.Incarnation > Current) {
    markEnded(Node, Current);
    Events.push_back(
        {session_event_kind::Restarted, Node, Current, Heartbeat.Incarnation});
    if (Next.Leaving) {
      Events.push_back(
          {session_event_kind::Leaving, Node, Next.Incarnation, {}});
    }
    Session.Node = Next;
    ++Version;
    return Granted;
  }
  applyHeartbeat(Session, Next);
  return Granted;
}

std::vector<session_event> session_table::tick(instant Now) {
  for (auto Entry = Sessions.begin(); Entry != Sessions.end();) {
    auto &Session = Entry->second;
    const duration SinceContact = Now - Session.LastContactAt;
    if (SinceContact >= Timing.SuspectAfter && !Session.Node.Suspected) {
      Session.Node.Suspected = true;
      Events.push_back({session_event_kind::Suspected,
                        Entry->first,
                        Session.Node.Incarnation,
                        {}});
      ++Version;
    }
    Entry = SinceContact >= Timing.Lease + Timing.DriftMargin
                ? endSession(Entry)
                : std::next(Entry);
  }
  return std::exchange(Events, {});
}

std::vector<live_node> session_table::liveNodes() const {
  std::vector<live_node> Nodes;
  Nodes.reserve(Sessions.size());
  for (const auto &[Node, Session] : Sessions) {
    Nodes.push_back(Session.Node);
  }
  return Nodes;
}

std::uint64_t session_table::nodesVersion() const noexcept { return Version; }

const std::map<node_id, incarnation> &
session_table::endedIncarnations() const noexcept {
  return EndedIncarnations;
}

void session_table::markEnded(node_id Node, incarnation Incarnation) {
  auto &Newest = EndedIncarnations[Node];
  Newest = std::max(Newest, Incarnation);
}

void session_table::applyHeartbeat(session &Session, const live_node &Next) {
  auto &Node = Session.Node;
  if (Node.Suspected) {
    Events.push_back(
        {session_event_kind::Recovered, Node.Info.Node, Node.Incarnation, {}});
  }
  // Draining lasts until the incarnation ends, so an older heartbeat that
  // arrives late does not undo it.
  const bool IsLeaving = Node.Leaving || Next.Leaving;
  if (IsLeaving && !Node.Leaving) {
    Events.push_back(
        {session_event_kind::Leaving, Node.Info.Node, Node.Incarnation, {}});
  }
  if (Node.Suspected || IsLeaving != Node.Leaving ||
      !(Node.Info == Next.Info)) {
    ++Version;
  }
  Node = Next;
  Node.Leaving = IsLeaving;
}

session_table::session_map::iterator
session_table::endSession(session_map::iterator Entry) {
  const auto Incarnation = Entry->second.Node.Incarnation;
  markEnded(Entry->first, Incarnation);
  Events.push_back({session_event_kind::Ended, Entry->first, Incarnation, {}});
  ++Version;
  return Sessions.erase(Entry);
}

} // namespace arbutus::membership
