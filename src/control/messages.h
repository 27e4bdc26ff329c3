#ifndef ARBUTUS_CONTROL_MESSAGES_H
#define ARBUTUS_CONTROL_MESSAGES_H

#include "membership/node_session.h"
#include "rollout/version_evidence.h"
#include "router/crash_report.h"
#include "store/config_update.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::control {

/// Wire form of `membership::live_node`.
struct wire_node {
  std::uint32_t Node = 0;
  std::uint64_t Incarnation = 0;
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  std::string HttpAddress;
  std::string MeshAddress;
  bool IsRouter = false;
  bool IsControl = false;
  bool Suspected = false;
  bool Leaving = false;
  std::uint64_t AppliedRevision = 0;
  std::string TrafficAddress;

  MSGPACK_DEFINE(Node, Incarnation, Name, FailureDomain, Region, HttpAddress,
                 MeshAddress, IsRouter, IsControl, Suspected, Leaving,
                 AppliedRevision, TrafficAddress)
};

[[nodiscard]] wire_node toWire(const membership::live_node &Node);
[[nodiscard]] membership::live_node fromWire(const wire_node &Node);

/// `heartbeat`: sent by each node to all control nodes.
struct heartbeat_message {
  wire_node Sender;
  store::config_position Position;
  /// Time on the sender's monotonic clock; the reply returns it.
  std::int64_t SendTimeUs = 0;
  /// Term and version of the list of live nodes that the sender holds.
  std::uint64_t NodesTerm = 0;
  std::uint64_t NodesVersion = 0;
  /// Identity of the data directory, if the sender is a voter or could be one.
  bool HasDirectoryId = false;
  std::uint64_t DirectoryId = 0;
  router::crash_findings Crashes;
  /// One report for each running rollout that the sender knows.
  std::vector<rollout::rollout_report> Rollouts;

  MSGPACK_DEFINE(Sender, Position, SendTimeUs, NodesTerm, NodesVersion,
                 HasDirectoryId, DirectoryId, Crashes, Rollouts)
};

/// `heartbeat_reply`: sent to a node by the leader. The reply of any other
/// node only fills `LeaderHint`, `SendTimeUs` and `ControlNodes`.
struct heartbeat_reply_message {
  bool FromLeader = false;
  /// Node id of the leader if the sender knows it, else 0.
  std::uint32_t LeaderHint = 0;
  std::uint64_t Term = 0;
  /// Committed revision of the configuration.
  std::uint64_t CommittedRevision = 0;
  /// `SendTimeUs` of the heartbeat; 0 when this replies to no heartbeat.
  std::int64_t SendTimeUs = 0;
  /// Length of the lease from `SendTimeUs`; 0 when no lease is granted.
  std::int64_t LeaseUs = 0;
  /// This incarnation of the node and all older ones get no lease any more.
  std::uint64_t LastEndedIncarnation = 0;
  bool HasNodes = false;
  std::uint64_t NodesVersion = 0;
  std::vector<wire_node> Nodes;
  /// Voters and learners that the sender knows. Only the leader's list is
  /// complete.
  std::vector<std::uint32_t> ControlNodes;
  router::crash_suspicions Suspicions;
  /// The leader's monotonic clock; 0 if the sender does not lead or runs an
  /// earlier version.
  std::int64_t LeaderTimeUs = 0;

  MSGPACK_DEFINE(FromLeader, LeaderHint, Term, CommittedRevision, SendTimeUs,
                 LeaseUs, LastEndedIncarnation, HasNodes, NodesVersion, Nodes,
                 ControlNodes, Suspicions, LeaderTimeUs)
};

/// `claim_request`: a router sends a store command to the leader.
struct claim_request_message {
  std::uint64_t Number = 0;
  std::string Command;

  MSGPACK_DEFINE(Number, Command)
};

/// `claim_reply`: the outcome of the command.
struct claim_reply_message {
  std::uint64_t Number = 0;
  std::string Outcome;

  MSGPACK_DEFINE(Number, Outcome)
};

/// `api_request`: an admin request, forwarded to the leader.
struct api_request_message {
  std::uint64_t Number = 0;
  std::string Method;
  std::string Target;
  std::string Body;
  /// Request id of the operator. A resend carries the same id.
  std::string RequestId;
  /// Term of the leader whose clock the following times are of; 0 if the sender
  /// does not know it or runs an earlier version.
  std::uint64_t Term = 0;
  /// Not later than the request arrived at the sender.
  std::int64_t ReceivedAtUs = 0;
  /// When the sender stops waiting for the reply.
  std::int64_t DeadlineUs = 0;

  MSGPACK_DEFINE(Number, Method, Target, Body, RequestId, Term, ReceivedAtUs,
                 DeadlineUs)
};

/// `api_reply`: the leader's response to an admin request.
struct api_reply_message {
  std::uint64_t Number = 0;
  std::uint32_t Status = 0;
  std::string Body;

  MSGPACK_DEFINE(Number, Status, Body)
};

/// Envelope of `pool_report` and `pool_grant`, which adds the pool.
struct pool_message {
  std::uint32_t Pool = 0;
  std::string Content;

  MSGPACK_DEFINE(Pool, Content)
};

} // namespace arbutus::control

#endif
