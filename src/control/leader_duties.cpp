#include "control/leader_duties.h"

#include "base/codec.h"
#include "base/digest.h"
#include "base/log.h"
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace arbutus::control {

namespace {

/// A node heard within this time is known to a new leader.
constexpr duration RememberHeard = 10s;
/// After this time of a term, a claim owner without a session has lost it: a
/// full lease and the margin have passed.
constexpr duration OrphanAge = 3500ms;
constexpr duration PlacementInterval = 100ms;
/// A new leader waits for heartbeats before it moves a grantor.
constexpr duration PlacementDelay = 700ms;
constexpr duration ExpireInterval = 30s;

/// The live router with the highest hash for this pool (rendezvous hashing).
std::optional<node_id> bestRouter(pool_id Pool,
                                  const std::vector<live_node> &Nodes) {
  std::optional<node_id> Best;
  std::uint64_t BestHash = 0;
  for (const auto &Node : Nodes) {
    if (!Node.Info.Router || Node.Suspected || Node.Leaving) {
      continue;
    }
    const std::uint64_t Hash =
        hash64(fmt::format("{}/{}", number(Pool), number(Node.Info.Node)));
    if (!Best || Hash > BestHash) {
      Best = Node.Info.Node;
      BestHash = Hash;
    }
  }
  return Best;
}

bool isWorkingRouter(node_id Node, const std::vector<live_node> &Nodes) {
  return std::any_of(Nodes.begin(), Nodes.end(), [&](const live_node &Live) {
    return Live.Info.Node == Node && Live.Info.Router && !Live.Suspected &&
           !Live.Leaving;
  });
}

} // namespace

void leader_duties::onHeartbeat(node_id From, incarnation Incarnation,
                                const heartbeat_message &Heartbeat,
                                std::optional<node_id> Leader, bool Leading,
                                const store::state_machine &Store,
                                instant Now) {
  live_node Node = fromWire(Heartbeat.Self);
  Node.Info.Node = From;
  Heard[From] = {known_node{Node.Info, Incarnation, {}, Node.Leaving}, Now};
  heartbeat_reply_message Reply;
  Reply.LeaderHint = Leader ? number(*Leader) : 0;
  Reply.SendTime = Heartbeat.SendTime;
  if (!Leading || Term == 0) {
    Send(From, net::message_kind::HeartbeatReply, encode(Reply));
    return;
  }
  heartbeat Beat;
  Beat.Info = Node.Info;
  Beat.Incarnation = Incarnation;
  Beat.Applied = Heartbeat.Position.Revision;
  Beat.SendTime = Heartbeat.SendTime;
  Beat.Leaving = Node.Leaving;
  const lease_answer Lease = Sessions.onHeartbeat(Beat, Now);
  Reply.Leader = true;
  Reply.Term = Term;
  Reply.Committed = number(Store.currentRevision());
  Reply.Closed = number(Lease.Closed);
  if (Lease.Outcome == lease_outcome::Granted) {
    Config.onPosition(From, Heartbeat.Position, Now);
    if (Config.currentEnough(Beat.Applied, Store, Now)) {
      Reply.LeaseMicros = toMicros(Lease.Lease);
    }
  }
  Reply.NodesVersion = Sessions.liveVersion();
  if (Heartbeat.NodesTerm != Term ||
      Heartbeat.NodesVersion != Reply.NodesVersion) {
    Reply.HasNodes = true;
    for (const auto &Live : Sessions.liveNodes()) {
      Reply.Nodes.push_back(toWire(Live));
    }
  }
  Send(From, net::message_kind::HeartbeatReply, encode(Reply));
}

std::vector<store::command>
leader_duties::tick(std::uint64_t NewTerm, const store::state_machine &Store,
                    instant Now) {
  std::vector<store::command> Commands;
  if (NewTerm != Term) {
    begin(NewTerm, Now);
  }
  takeEvents(Commands, Now);
  if (Sessions.liveVersion() != SentVersion) {
    SentVersion = Sessions.liveVersion();
    for (const auto &Node : Sessions.liveNodes()) {
      sendNodes(Node.Info.Node, Store);
    }
  }
  for (const auto &[Node, Update] : Config.makeUpdates(Store, Now)) {
    Send(Node, net::message_kind::ConfigUpdate, encode(Update));
  }
  if (Now >= TermStart + PlacementDelay &&
      Now >= LastPlacement + PlacementInterval) {
    LastPlacement = Now;
    placePools(Store, Commands);
  }
  if (!OrphansAbandoned && Now >= TermStart + OrphanAge) {
    OrphansAbandoned = true;
    abandonOrphans(Store, Commands);
  }
  if (Now >= LastExpire + ExpireInterval) {
    LastExpire = Now;
    Commands.push_back(
        store::makeCommand(store::expire_command{wallClockMillis()}));
  }
  return Commands;
}

void leader_duties::begin(std::uint64_t NewTerm, instant Now) {
  Term = NewTerm;
  TermStart = Now;
  SentVersion = 0;
  OrphansAbandoned = false;
  LastExpire = Now;
  Config.reset();
  std::vector<known_node> Known;
  for (const auto &[Node, Entry] : Heard) {
    if (Entry.At + RememberHeard >= Now) {
      Known.push_back(Entry.Known);
    }
  }
  Sessions.startTerm(Known, Now);
  logEvent(log_level::Info, "leading",
           {{"term", Term}, {"known_nodes", Known.size()}});
}

void leader_duties::takeEvents(std::vector<store::command> &Commands,
                               instant Now) {
  for (const auto &Event : Sessions.tick(Now)) {
    logEvent(log_level::Info, "session",
             {{"change", nameOf(Event.Kind)},
              {"peer", number(Event.Node)},
              {"incarnation", number(Event.Incarnation)}});
    if (Event.Kind == session_event_kind::Ended) {
      Config.remove(Event.Node);
    }
    if (Event.Kind == session_event_kind::Ended ||
        Event.Kind == session_event_kind::Restarted) {
      Commands.push_back(store::makeCommand(
          store::abandon_command{Event.Node, Event.Incarnation}));
    }
  }
}

void leader_duties::placePools(const store::state_machine &Store,
                               std::vector<store::command> &Commands) {
  const auto Nodes = Sessions.liveNodes();
  for (const auto &Object : Store.list(store::resource_kind::Pool)) {
    const auto *Pool = Object->as<store::pool>();
    if (isWorkingRouter(Pool->Grantor, Nodes)) {
      continue;
    }
    const auto Next = bestRouter(pool_id{Object->Number}, Nodes);
    if (!Next) {
      continue;
    }
    logEvent(log_level::Info, "place_grantor",
             {{"pool", Object->Name},
              {"from", number(Pool->Grantor)},
              {"to", number(*Next)},
              {"epoch", number(Pool->Epoch) + 1}});
    Commands.push_back(store::makeCommand(store::assign_pool_command{
        pool_id{Object->Number}, *Next, epoch{number(Pool->Epoch) + 1}}));
  }
}

void leader_duties::abandonOrphans(const store::state_machine &Store,
                                   std::vector<store::command> &Commands) {
  std::map<node_id, incarnation> Live;
  for (const auto &Node : Sessions.liveNodes()) {
    Live[Node.Info.Node] = Node.Incarnation;
  }
  for (const auto &[Node, Incarnation] : Store.openOwners()) {
    const auto It = Live.find(Node);
    if (It == Live.end() || Incarnation < It->second) {
      Commands.push_back(
          store::makeCommand(store::abandon_command{Node, Incarnation}));
    }
  }
}

void leader_duties::sendNodes(node_id To, const store::state_machine &Store) {
  heartbeat_reply_message Reply;
  Reply.Leader = true;
  Reply.LeaderHint = number(Self);
  Reply.Term = Term;
  Reply.Committed = number(Store.currentRevision());
  Reply.HasNodes = true;
  Reply.NodesVersion = Sessions.liveVersion();
  for (const auto &Live : Sessions.liveNodes()) {
    Reply.Nodes.push_back(toWire(Live));
  }
  Send(To, net::message_kind::HeartbeatReply, encode(Reply));
}

} // namespace arbutus::control
