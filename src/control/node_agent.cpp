#include "control/node_agent.h"

#include "base/codec.h"
#include "base/log.h"

#include <algorithm>

namespace arbutus::control {

namespace {

constexpr auto HeartbeatInterval = std::chrono::milliseconds(300);
/// Time between two checks of queued requests for expired deadlines.
constexpr auto ExpiryInterval = std::chrono::milliseconds(50);
/// A leader that has not replied for this long counts as unknown.
constexpr duration LeaderTimeout = 900ms;
/// One heartbeat in this many also goes to the configured voters.
constexpr std::uint64_t HeartbeatsPerSeedContact = 4;

membership::node_info makeNodeInfo(const settings::settings &Settings) {
  membership::node_info Info;
  Info.Node = Settings.Node.Id;
  Info.Name = Settings.Node.Name;
  Info.FailureDomain = Settings.Node.FailureDomain;
  Info.Region = Settings.Node.Region;
  Info.HttpAddress = Settings.Listen.Http.toString();
  const auto &Advertised = Settings.Listen.MeshAdvertised;
  Info.MeshAddress = Advertised.empty() ? Settings.Listen.Mesh.toString()
                                        : Advertised.toString();
  Info.IsRouter = Settings.Node.IsRouter;
  Info.IsControl = Settings.Node.IsControl;
  Info.TrafficAddress = Settings.Gateway.RequestListener.toString();
  return Info;
}

} // namespace

node_agent::node_agent(asio::io_context &Io, const settings::settings &Settings,
                       send_function GivenSend, nodes_function OnNodes,
                       incarnation_function OnIncarnation)
    : Settings(Settings), Send(std::move(GivenSend)),
      OnNodes(std::move(OnNodes)), OnIncarnation(std::move(OnIncarnation)),
      HeartbeatTimer(Io), ReportTimer(Io), ExpiryTimer(Io),
      Leader(Io,
             [this](api_request_message Request, const request_times &Times) {
               sendAdminRequest(std::move(Request), Times);
             }),
      Pools(Io, Settings.Node.Id,
            [this](node_id To, pool_id Pool, const pool::pool_grant &Grant) {
              Send(To, net::message_kind::PoolGrant,
                   encode(pool_message{number(Pool), encode(Grant)}));
            }) {
  for (const auto &Voter : Settings.Fleet.InitialVoters) {
    ControlNodes.insert(Voter.Id);
  }
}

void node_agent::start(router::router_context &GivenContext) {
  Context = &GivenContext;
  heartbeat();
  armHeartbeat();
  armExpiry();
}

void node_agent::onFrame(node_id From, incarnation Incarnation,
                         net::message_kind Kind, const std::string &Payload) {
  switch (Kind) {
  case net::message_kind::Heartbeat:
    if (const auto Heartbeat = decodeMessage<heartbeat_message>(Payload)) {
      replyWithLeaderHint(From, Heartbeat.value());
    }
    return;
  case net::message_kind::HeartbeatReply:
    if (const auto Reply = decodeMessage<heartbeat_reply_message>(Payload)) {
      onHeartbeatReply(From, Reply.value());
    }
    return;
  case net::message_kind::ConfigUpdate:
    if (const auto Update = decodeMessage<store::config_update>(Payload)) {
      onConfigUpdate(Update.value());
    }
    return;
  case net::message_kind::PoolReport:
    if (const auto Message = decodeMessage<pool_message>(Payload)) {
      if (const auto Report =
              decodeMessage<pool::pool_report>(Message.value().Content)) {
        Pools.onReport(From, Incarnation, pool_id{Message.value().Pool},
                       Report.value());
      }
    }
    return;
  case net::message_kind::PoolGrant:
    if (const auto Message = decodeMessage<pool_message>(Payload)) {
      if (const auto Grant =
              decodeMessage<pool::pool_grant>(Message.value().Content)) {
        Context->Pools.onGrant(From, pool_id{Message.value().Pool},
                               Grant.value());
        flushReports();
      }
    }
    return;
  case net::message_kind::ClaimReply:
    if (const auto Reply = decodeMessage<claim_reply_message>(Payload)) {
      if (const auto Outcome =
              decodeMessage<store::command_outcome>(Reply.value().Outcome)) {
        Context->Claims.onReply(Reply.value().Number, Outcome.value());
      }
    }
    return;
  case net::message_kind::ApiReply:
    if (const auto Reply = decodeMessage<api_reply_message>(Payload)) {
      Leader.onReply(Reply.value());
    }
    return;
  default:
    return;
  }
}

void node_agent::sendCommand(std::uint64_t Number, const std::string &Command) {
  sendToLeader(net::message_kind::ClaimRequest,
               encode(claim_request_message{Number, Command}));
}

void node_agent::flushReports() {
  for (const auto &Report : Context->Pools.collectReports()) {
    Send(Report.Grantor, net::message_kind::PoolReport,
         encode(pool_message{number(Report.Pool), encode(Report.Report)}));
  }
  const instant Next = Context->Pools.nextReportTime();
  if (Next == instant::max()) {
    return;
  }
  const duration Wait = std::max(Next - monotonic_clock::now(), duration(50));
  ReportTimer.expires_after(Wait);
  ReportTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      flushReports();
    }
  });
}

void node_agent::announceDraining() {
  Draining = true;
  heartbeat();
}

void node_agent::heartbeat() {
  heartbeat_message Message;
  membership::live_node Self;
  Self.Info = makeNodeInfo(Settings);
  Self.Incarnation = Context->Incarnation.load();
  Self.Leaving = Draining;
  Self.AppliedRevision = Replica.currentRevision();
  Message.Sender = toWire(Self);
  Message.Position = Replica.position();
  Message.SendTimeUs = toMicros(monotonic_clock::now());
  Message.NodesTerm = NodesTerm;
  Message.NodesVersion = NodesVersion;
  if (OwnDirectoryId) {
    Message.HasDirectoryId = true;
    Message.DirectoryId = number(*OwnDirectoryId);
  }
  Message.Crashes = Context->Crashes.findings(monotonic_clock::now());
  Message.Rollouts = Context->Versions.reports();
  const std::string Payload = encode(Message);
  // All control nodes get it, so that a new leader knows the nodes at once.
  auto Receivers = ControlNodes;
  const bool LeaderTimedOut =
      monotonic_clock::now() > LastLeaderReply + LeaderTimeout;
  if (LeaderTimedOut || HeartbeatCount % HeartbeatsPerSeedContact == 0) {
    for (const auto &Voter : Settings.Fleet.InitialVoters) {
      Receivers.insert(Voter.Id);
    }
  }
  ++HeartbeatCount;
  for (const node_id Receiver : Receivers) {
    Send(Receiver, net::message_kind::Heartbeat, Payload);
  }
}

void node_agent::updateControlNodes(const heartbeat_reply_message &Reply) {
  if (Reply.ControlNodes.empty()) {
    return;
  }
  if (Reply.FromLeader) {
    ControlNodes.clear();
  }
  for (const auto Number : Reply.ControlNodes) {
    ControlNodes.insert(node_id{Number});
  }
}

void node_agent::replyWithLeaderHint(node_id From,
                                     const heartbeat_message &Heartbeat) {
  // This node is not a voter, but the sender takes it for one: the reply names
  // the leader and the control nodes that this node knows.
  if (Heartbeat.HasDirectoryId &&
      monotonic_clock::now() > LastLeaderReply + LeaderTimeout) {
    ControlNodes.insert(From);
  }
  heartbeat_reply_message Reply;
  Reply.LeaderHint = LeaderNode ? number(*LeaderNode) : 0;
  for (const node_id Node : ControlNodes) {
    Reply.ControlNodes.push_back(number(Node));
  }
  Send(From, net::message_kind::HeartbeatReply, encode(Reply));
}

void node_agent::armHeartbeat() {
  HeartbeatTimer.expires_after(HeartbeatInterval);
  HeartbeatTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      heartbeat();
      armHeartbeat();
    }
  });
}

void node_agent::armExpiry() {
  ExpiryTimer.expires_after(ExpiryInterval);
  ExpiryTimer.async_wait([this](const asio::error_code &Error) {
    if (!Error) {
      Context->Pools.expireWaiting();
      armExpiry();
    }
  });
}

void node_agent::onHeartbeatReply(node_id From,
                                  const heartbeat_reply_message &Reply) {
  const instant Now = monotonic_clock::now();
  if (!Reply.FromLeader || Reply.Term >= LeaderTerm) {
    updateControlNodes(Reply);
  }
  if (!Reply.FromLeader) {
    const bool LeaderUnknown =
        !LeaderNode || Now > LastLeaderReply + LeaderTimeout;
    if (LeaderUnknown && Reply.LeaderHint != 0) {
      LeaderNode = node_id{Reply.LeaderHint};
    }
    return;
  }
  if (Reply.Term < LeaderTerm) {
    return;
  }
  LeaderTerm = Reply.Term;
  LeaderNode = From;
  LastLeaderReply = Now;
  if (Reply.LeaderTimeUs != 0) {
    LeaderClock.onReply(Reply.Term, instantFromMicros(Reply.LeaderTimeUs), Now);
  }
  if (number(Context->Incarnation.load()) <= Reply.LastEndedIncarnation) {
    renewIncarnation(incarnation{Reply.LastEndedIncarnation});
    return;
  }
  if (Reply.SendTimeUs != 0) {
    Context->Crashes.setLeaderSuspicions(Reply.Suspicions, Now);
  }
  applyLiveNodes(Reply);
  applyLease(Reply);
}

void node_agent::applyLease(const heartbeat_reply_message &Reply) {
  // The leader grants no lease to a node that lacks a committed revision: such
  // a node could send requests to an upstream or failure domain that has been
  // taken out of service.
  if (Reply.LeaseUs == 0 || Reply.SendTimeUs == 0) {
    return;
  }
  // A late reply to an earlier process of this node grants a lease for the
  // configuration that the earlier process had. After a restart of the VM its
  // times are even in the future.
  const instant SentAt = instantFromMicros(Reply.SendTimeUs);
  if (SentAt < StartedAt || SentAt > monotonic_clock::now()) {
    return;
  }
  const std::int64_t LeaseEndUs = Reply.SendTimeUs + Reply.LeaseUs;
  if (LeaseEndUs <= Context->LeaseUntilUs.load()) {
    return;
  }
  Context->LeaseUntilUs.store(LeaseEndUs, std::memory_order_release);
  Context->Pools.setLease(instantFromMicros(LeaseEndUs));
}

void node_agent::applyLiveNodes(const heartbeat_reply_message &Reply) {
  if (!Reply.HasNodes ||
      (NodesTerm == Reply.Term && NodesVersion >= Reply.NodesVersion)) {
    return;
  }
  NodesTerm = Reply.Term;
  NodesVersion = Reply.NodesVersion;
  auto Nodes = std::make_shared<std::vector<membership::live_node>>();
  for (const auto &Wire : Reply.Nodes) {
    Nodes->push_back(fromWire(Wire));
  }
  OnNodes(*Nodes);
  Pools.setNodes(*Nodes);
  auto State = Context->Routing.read([](const auto &Old) { return Old; });
  State.Nodes = std::move(Nodes);
  Context->Routing.replace(
      std::make_unique<router::routing_state>(std::move(State)));
}

void node_agent::onConfigUpdate(const store::config_update &Update) {
  const auto Applied = Replica.apply(Update);
  if (Applied.has_error()) {
    logEvent(log_level::Debug, "config_refused",
             {{"code", nameOf(Applied.error().Code)},
              {"revision", number(Update.Revision)}});
    return;
  }
  if (!Applied.value()) {
    return;
  }
  View = std::make_shared<const store::config_view>(Replica);
  Context->Versions.setView(View->traffic(), monotonic_clock::now());
  auto State = Context->Routing.read([](const auto &Old) { return Old; });
  State.View = View;
  Context->Routing.replace(
      std::make_unique<router::routing_state>(std::move(State)));
  Context->Pools.configure(*View);
  Context->Retries.setRetryPercent(
      static_cast<int>(View->policyValues().RetryBudgetPercent));
  Pools.configure(View, Context->Incarnation.load());
  logEvent(log_level::Info, "config_in_force",
           {{"revision", number(Replica.currentRevision())}});
  heartbeat(); // Reports the new revision and renews the lease.
  flushReports();
}

void node_agent::renewIncarnation(incarnation LastEnded) {
  const auto Wall = static_cast<std::uint64_t>(wallClockMillis());
  const incarnation Next{std::max(number(LastEnded) + 1, Wall)};
  logEvent(
      log_level::Warning, "session_lost",
      {{"old", number(Context->Incarnation.load())}, {"new", number(Next)}});
  Context->Incarnation = Next;
  Context->Pools.startSession(Next);
  if (View) {
    Pools.configure(View, Next); // Stops grantors of the old incarnation.
  }
  OnIncarnation(Next);
  heartbeat();
}

void node_agent::sendAdminRequest(api_request_message Request,
                                  const request_times &Times) {
  if (LeaderTerm == 0) {
    return; // No leader has answered yet; the request is sent again.
  }
  Request.Term = LeaderClock.term();
  if (Request.Term != 0) {
    Request.ReceivedAtUs = toMicros(LeaderClock.atLeast(Times.ReceivedAt));
    Request.DeadlineUs = toMicros(LeaderClock.atLeast(Times.Deadline));
  }
  sendToLeader(net::message_kind::ApiRequest, encode(Request));
}

void node_agent::sendToLeader(net::message_kind Kind,
                              const std::string &Payload) {
  const instant Now = monotonic_clock::now();
  if (LeaderNode && Now <= LastLeaderReply + LeaderTimeout) {
    Send(*LeaderNode, Kind, Payload);
    return;
  }
  // Only the leader handles it, so sending it to all control nodes is safe.
  for (const node_id Node : ControlNodes) {
    Send(Node, Kind, Payload);
  }
}

} // namespace arbutus::control
