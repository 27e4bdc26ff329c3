#include "control/leader_duties.h"

#include "base/codec.h"
#include "base/log.h"
#include "membership/voter_plan.h"

#include <algorithm>
#include <set>
#include <string>

namespace arbutus::control {

namespace {

/// A new leader starts with the sessions of nodes whose last heartbeat is at
/// most this old.
constexpr duration ContactRetention = 10s;
/// Time after the start of a term at which claims whose owner has no session
/// are abandoned. A full lease and a safety margin have passed by then, so the
/// owner can no longer hold a lease.
constexpr duration ClaimOwnerTimeout = 3500ms;
/// Time that a request may take from its router to its upstream.
constexpr duration TransitTime = 100ms;
constexpr duration PlacementInterval = 100ms;
/// A new leader collects heartbeats for this long before it moves grantors.
constexpr duration PlacementDelay = 700ms;
constexpr duration ClaimExpiryInterval = 30s;
/// Time after which a segment may be tried again. It is found guilty again if
/// it still crashes upstreams.
constexpr duration QuarantineTime = 1h;
/// Heartbeats with reports come every 300 ms from each router.
constexpr duration RolloutInterval = 200ms;
/// While a rollout runs, log time is written at this interval, so that a new
/// leader does not fall behind its deadline.
constexpr duration RolloutTimeInterval = 1s;
constexpr duration VoterCheckInterval = 200ms;
constexpr duration VoterCheckDelay = 1s;

/// Longest time that a request to the service may take.
duration maxRequestTime(const store::fleet_config &Config,
                        const std::string &Service) {
  std::uint32_t LongestMs = 0;
  for (const auto &Route : Config.Routes) {
    const bool Uses = std::any_of(
        Route.Targets.begin(), Route.Targets.end(),
        [&](const auto &Target) { return Target.Service == Service; });
    LongestMs = Uses ? std::max(LongestMs, Route.TimeoutMs) : LongestMs;
  }
  return std::chrono::milliseconds(LongestMs);
}

/// What the store knows for a decision on a rollout.
rollout::rollout_input rolloutInput(const store::resource &Object,
                                    const store::state_machine &Store) {
  rollout::rollout_input Input;
  Input.Service = Object.Name;
  Input.Rollout = Object.as<store::rollout>();
  Input.PhaseRevision = Object.Revision;
  for (const auto &Instance : Store.list(store::resource_kind::Instance)) {
    const auto *Spec = Instance->as<store::instance>();
    if (Spec->Service == Object.Name &&
        Spec->State == store::upstream_state::In) {
      auto &Slots = Spec->Version == Input.Rollout->Target
                        ? Input.TargetSlots
                        : Input.ReplacedSlots;
      Slots += std::max(1U, Spec->Slots);
    }
  }
  const auto Config =
      Store.find(store::resource_kind::Configuration, store::FleetConfigName);
  if (Config) {
    Input.MaxRequestTime =
        maxRequestTime(*Config->as<store::fleet_config>(), Object.Name);
  }
  return Input;
}

} // namespace

void leader_duties::onHeartbeat(node_id From, incarnation Incarnation,
                                const heartbeat_message &Heartbeat,
                                std::optional<node_id> Leader, bool IsLeading,
                                const consensus::cluster_membership &Voters,
                                const store::state_machine &Store,
                                instant Now) {
  membership::live_node Node = fromWire(Heartbeat.Sender);
  Node.Info.Node = From;
  Contacts[From] = {
      membership::prior_session{Node.Info, Incarnation, {}, Node.Leaving}, Now,
      Heartbeat.HasDirectoryId
          ? std::optional(consensus::data_directory_id{Heartbeat.DirectoryId})
          : std::nullopt};
  Crashes.onFindings(Heartbeat.Crashes, Now);
  Rollouts.onReports(From, Incarnation, Heartbeat.Position.Revision,
                     Heartbeat.Rollouts, Now);
  heartbeat_reply_message Reply;
  for (const auto &Members : {Voters.Voters, Voters.Learners}) {
    for (const auto &Member : Members) {
      Reply.ControlNodes.push_back(number(Member.node()));
    }
  }
  Reply.LeaderHint = Leader ? number(*Leader) : 0;
  Reply.SendTimeUs = Heartbeat.SendTimeUs;
  if (!IsLeading || Term == 0) {
    Send(From, net::message_kind::HeartbeatReply, encode(Reply));
    return;
  }
  membership::heartbeat SessionHeartbeat;
  SessionHeartbeat.Info = Node.Info;
  SessionHeartbeat.Incarnation = Incarnation;
  SessionHeartbeat.AppliedRevision = Heartbeat.Position.Revision;
  SessionHeartbeat.SendTimeMicros = Heartbeat.SendTimeUs;
  SessionHeartbeat.Leaving = Node.Leaving;
  const membership::lease_reply Lease =
      Sessions.onHeartbeat(SessionHeartbeat, Now);
  Reply.FromLeader = true;
  Reply.Term = Term;
  Reply.LeaderTimeUs = toMicros(Now);
  Reply.CommittedRevision = number(Store.currentRevision());
  Reply.LastEndedIncarnation = number(Lease.LastEndedIncarnation);
  if (Lease.Outcome == membership::lease_outcome::Granted) {
    Config.onPosition(From, Heartbeat.Position, Now);
    if (Config.isCurrentEnoughForLease(SessionHeartbeat.AppliedRevision, Store,
                                       Now)) {
      Reply.LeaseUs = toMicros(
          limitLease(Lease.Lease, SessionHeartbeat.AppliedRevision, Now));
    }
  }
  Reply.Suspicions = Crashes.suspicions();
  Reply.NodesVersion = Sessions.nodesVersion();
  if (Heartbeat.NodesTerm != Term ||
      Heartbeat.NodesVersion != Reply.NodesVersion) {
    Reply.HasNodes = true;
    for (const auto &Live : Sessions.liveNodes()) {
      Reply.Nodes.push_back(toWire(Live));
    }
  }
  Send(From, net::message_kind::HeartbeatReply, encode(Reply));
}

duration leader_duties::limitLease(duration Lease, revision Applied,
                                   instant Now) const {
  if (!MaxInstanceAge) {
    return Lease;
  }
  const auto Age = Instances.ageAt(Applied, Now);
  if (!Age) {
    return duration::zero();
  }
  return std::clamp(*MaxInstanceAge - TransitTime - *Age, duration::zero(),
                    Lease);
}

void leader_duties::logInstanceAge(const store::state_machine &Store,
                                   instant Now) {
  if (!MaxInstanceAge) {
    return;
  }
  const auto Age = Instances.ageAt(Store.currentRevision(), Now);
  const bool Outdated = !Age || *Age >= *MaxInstanceAge;
  if (Outdated == InstancesOutdated) {
    return;
  }
  InstancesOutdated = Outdated;
  logEvent(Outdated ? log_level::Warning : log_level::Info,
           Outdated ? "instances_outdated" : "instances_current",
           {{"term", Term},
            {"age_us", Age ? std::to_string(toMicros(*Age)) : "unknown"}});
}

std::vector<store::command>
leader_duties::tick(std::uint64_t NewTerm, const store::state_machine &Store,
                    instant Now) {
  std::vector<store::command> Commands;
  if (NewTerm != Term) {
    startTerm(NewTerm, Store, Now);
  }
  handleSessionEvents(Commands, Now);
  logInstanceAge(Store, Now);
  if (Now >= LastCrashUpdate + crash_correlator::UpdateInterval) {
    LastCrashUpdate = Now;
    quarantineGuiltySegments(Commands, Now);
  }
  if (Now >= LastRolloutUpdate + RolloutInterval) {
    LastRolloutUpdate = Now;
    advanceRollouts(Store, Commands, Now);
  }
  if (Sessions.nodesVersion() != SentNodesVersion) {
    SentNodesVersion = Sessions.nodesVersion();
    for (const auto &Node : Sessions.liveNodes()) {
      sendLiveNodes(Node.Info.Node, Store);
    }
  }
  for (const auto &[Node, Update] : Config.makeUpdates(Store, Now)) {
    Send(Node, net::message_kind::ConfigUpdate, encode(Update));
  }
  if (Now >= TermStart + PlacementDelay &&
      Now >= LastPlacement + PlacementInterval) {
    LastPlacement = Now;
    placeGrantors(Store, Commands);
  }
  if (!OwnerlessClaimsAbandoned && Now >= TermStart + ClaimOwnerTimeout) {
    OwnerlessClaimsAbandoned = true;
    abandonClaimsWithoutSession(Store, Commands);
  }
  if (Now >= LastClaimExpiry + ClaimExpiryInterval) {
    LastClaimExpiry = Now;
    Commands.push_back(
        store::makeCommand(store::expire_command{logTimeMs(Now)}));
  }
  return Commands;
}

std::optional<consensus::membership_change>
leader_duties::dueMembershipChange(const consensus::cluster_membership &Voters,
                                   instant Now) {
  // A new leader first collects heartbeats; otherwise it would replace voters
  // that are still running.
  if (Now < TermStart + VoterCheckDelay ||
      Now < LastVoterCheck + VoterCheckInterval) {
    return std::nullopt;
  }
  LastVoterCheck = Now;
  std::vector<membership::voter_candidate> Nodes;
  for (const auto &[Node, Entry] : Contacts) {
    if (Entry.DirectoryId) {
      Nodes.push_back({Node, *Entry.DirectoryId, Entry.LastHeartbeat});
    }
  }
  return membership::planVoterChange(Voters, Nodes, Now);
}

std::int64_t leader_duties::logTimeMs(instant Now) const noexcept {
  return TermStartLogMs + toMicros(Now - TermStart) / 1000;
}

void leader_duties::startTerm(std::uint64_t NewTerm,
                              const store::state_machine &Store, instant Now) {
  Term = NewTerm;
  TermStart = Now;
  TermStartLogMs =
      Store.logTimeMs() != 0 ? Store.logTimeMs() : wallClockMillis();
  SentNodesVersion = 0;
  OwnerlessClaimsAbandoned = false;
  LastClaimExpiry = Now;
  Config.reset();
  Instances.reset();
  std::vector<membership::prior_session> PriorSessions;
  for (const auto &[Node, Entry] : Contacts) {
    if (Entry.LastHeartbeat + ContactRetention >= Now) {
      PriorSessions.push_back(Entry.Session);
    }
  }
  Sessions.startTerm(PriorSessions, Now);
  logEvent(log_level::Info, "leading",
           {{"term", Term}, {"known_nodes", PriorSessions.size()}});
}

void leader_duties::handleSessionEvents(std::vector<store::command> &Commands,
                                        instant Now) {
  for (const auto &Event : Sessions.tick(Now)) {
    logEvent(log_level::Info, "session",
             {{"change", nameOf(Event.Kind)},
              {"peer", number(Event.Node)},
              {"incarnation", number(Event.Incarnation)}});
    if (Event.Kind == membership::session_event_kind::Ended) {
      Config.remove(Event.Node);
    }
    if (Event.Kind == membership::session_event_kind::Ended ||
        Event.Kind == membership::session_event_kind::Restarted) {
      Commands.push_back(store::makeCommand(
          store::abandon_command{Event.Node, Event.Incarnation}));
    }
  }
}

void leader_duties::quarantineGuiltySegments(
    std::vector<store::command> &Commands, instant Now) {
  for (const auto &Guilty : Crashes.update(Now)) {
    store::quarantine_command Quarantine;
    for (const auto Segment : Guilty) {
      Quarantine.Segments.push_back(store::segmentName(number(Segment)));
    }
    Quarantine.DurationMs = toMicros(QuarantineTime) / 1000;
    logEvent(log_level::Warning, "prompt_quarantined",
             {{"segments", store::quarantineName(Quarantine.Segments)},
              {"duration_us", toMicros(QuarantineTime)}});
    Commands.push_back(store::makeCommand(std::move(Quarantine)));
  }
}

void leader_duties::advanceRollouts(const store::state_machine &Store,
                                    std::vector<store::command> &Commands,
                                    instant Now) {
  std::vector<std::string> Running;
  for (const auto &Object : Store.list(store::resource_kind::Rollout)) {
    const auto *Rollout = Object->as<store::rollout>();
    if (!Rollout->isRunning()) {
      continue;
    }
    Running.push_back(Object->Name);
    auto Input = rolloutInput(*Object, Store);
    Input.NowMs = logTimeMs(Now);
    Input.Nodes = Sessions.liveNodes();
    const auto Decision = Rollouts.decide(Input, Now);
    if (!Decision) {
      continue;
    }
    logEvent(log_level::Info, "rollout_advanced",
             {{"service", Object->Name},
              {"target", Rollout->Target},
              {"from", nameOf(Rollout->Phase)},
              {"to", nameOf(Decision->Phase)},
              {"reason", Decision->Reason},
              {"target_slots", Input.TargetSlots},
              {"replaced_slots", Input.ReplacedSlots},
              {"left_ms", Rollout->DeadlineMs - Input.NowMs}});
    Commands.push_back(store::makeCommand(store::advance_rollout_command{
        Object->Name, Rollout->StartedMs, Decision->Phase, Decision->Reason}));
  }
  Rollouts.retain(Running);
  if (!Running.empty() && Now >= LastRolloutTime + RolloutTimeInterval) {
    LastRolloutTime = Now;
    Commands.push_back(
        store::makeCommand(store::expire_command{logTimeMs(Now)}));
  }
}

void leader_duties::placeGrantors(const store::state_machine &Store,
                                  std::vector<store::command> &Commands) {
  std::vector<membership::grantor_assignment> Assignments;
  std::map<pool_id, const store::resource *> ObjectsByPool;
  const auto PoolObjects = Store.list(store::resource_kind::Pool);
  for (const auto &Object : PoolObjects) {
    const auto *Pool = Object->as<store::pool>();
    membership::grantor_assignment Assignment;
    Assignment.Pool = pool_id{Object->Number};
    if (number(Pool->Grantor) != 0) {
      Assignment.Grantor = Pool->Grantor;
      Assignment.Incarnation = Pool->Incarnation;
    }
    Assignments.push_back(Assignment);
    ObjectsByPool[Assignment.Pool] = Object.get();
  }
  std::set<std::string> OutOfServiceDomains;
  for (const auto &Object : Store.list(store::resource_kind::FailureDomain)) {
    if (Object->as<store::failure_domain>()->State ==
        store::domain_state::Out) {
      OutOfServiceDomains.insert(Object->Name);
    }
  }
  for (const auto &Move : membership::planGrantorMoves(
           Assignments, Sessions.liveNodes(), OutOfServiceDomains)) {
    const store::resource &Object = *ObjectsByPool.at(Move.Pool);
    const epoch Next{number(Object.as<store::pool>()->Epoch) + 1};
    logEvent(log_level::Info, "place_grantor",
             {{"pool", Object.Name},
              {"from", Move.From ? number(*Move.From) : 0},
              {"to", number(Move.To)},
              {"epoch", number(Next)},
              {"reason", nameOf(Move.Reason)}});
    Commands.push_back(store::makeCommand(store::assign_pool_command{
        Move.Pool, Move.To, Next, Move.Incarnation}));
  }
}

void leader_duties::abandonClaimsWithoutSession(
    const store::state_machine &Store, std::vector<store::command> &Commands) {
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

void leader_duties::sendLiveNodes(node_id To,
                                  const store::state_machine &Store) {
  heartbeat_reply_message Reply;
  Reply.FromLeader = true;
  Reply.LeaderHint = number(Self);
  Reply.Term = Term;
  Reply.CommittedRevision = number(Store.currentRevision());
  Reply.HasNodes = true;
  Reply.NodesVersion = Sessions.nodesVersion();
  for (const auto &Live : Sessions.liveNodes()) {
    Reply.Nodes.push_back(toWire(Live));
  }
  Send(To, net::message_kind::HeartbeatReply, encode(Reply));
}

} // namespace arbutus::control
