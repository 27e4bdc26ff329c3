#ifndef ARBUTUS_CONTROL_MESSAGES_H
#define ARBUTUS_CONTROL_MESSAGES_H

#include "membership/node_session.h"
#include "store/config_update.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::control {

/// Wire form of what a node tells about itself.
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
  std::uint64_t Applied = 0;
  std::string TrafficAddress;

  MSGPACK_DEFINE(Node, Incarnation, Name, FailureDomain, Region, HttpAddress,
                 MeshAddress, IsRouter, IsControl, Suspected, Leaving, Applied,
                 TrafficAddress)
};

[[nodiscard]] wire_node toWire(const membership::live_node &Node);
[[nodiscard]] membership::live_node fromWire(const wire_node &Node);

/// `heartbeat`: a node to every voter.
struct heartbeat_message {
  wire_node Self;
  store::config_position Position;
  /// Microseconds on the sender's clock.
  std::int64_t SendTime = 0;
  /// Term and version of the list of live nodes that the sender has.
  std::uint64_t NodesTerm = 0;
  std::uint64_t NodesVersion = 0;
  /// Identity of the data directory, if the sender is a voter or could be one.
  bool HasDisk = false;
  std::uint64_t Disk = 0;

  MSGPACK_DEFINE(Self, Position, SendTime, NodesTerm, NodesVersion, HasDisk,
                 Disk)
};

/// `heartbeat_reply`: the leader to a node; other voters send only a hint.
struct heartbeat_reply_message {
  bool Leader = false;
  /// The leader as far as the sender knows, or 0.
  std::uint32_t LeaderHint = 0;
  std::uint64_t Term = 0;
  std::uint64_t Committed = 0;  ///< revision of the configuration
  std::int64_t SendTime = 0;    ///< echo; 0 when this answers no heartbeat
  std::int64_t LeaseMicros = 0; ///< 0 when no lease is given
  std::uint64_t LastEndedIncarnation =
      0; ///< this incarnation and older ones are closed
  bool HasNodes = false;
  std::uint64_t NodesVersion = 0;
  std::vector<wire_node> Nodes;
  /// Nodes that keep the replicated log, as far as the sender knows. The list
  /// of a leader is complete.
  std::vector<std::uint32_t> ControlNodes;

  MSGPACK_DEFINE(Leader, LeaderHint, Term, Committed, SendTime, LeaseMicros,
                 LastEndedIncarnation, HasNodes, NodesVersion, Nodes,
                 ControlNodes)
};

/// `claim_request`: a store command of a router to the leader.
struct command_message {
  std::uint64_t Number = 0;
  std::string Command;

  MSGPACK_DEFINE(Number, Command)
};

/// `claim_reply`: the outcome of the command.
struct command_reply_message {
  std::uint64_t Number = 0;
  std::string Outcome;

  MSGPACK_DEFINE(Number, Outcome)
};

/// `api_request`: an operator's call, forwarded to the leader.
struct api_request_message {
  std::uint64_t Number = 0;
  std::string Method;
  std::string Target;
  std::string Body;
  /// The operator's request id; the same when the call is sent again.
  std::string RequestId;

  MSGPACK_DEFINE(Number, Method, Target, Body, RequestId)
};

/// `api_reply`: the answer to an operator's call.
struct api_reply_message {
  std::uint64_t Number = 0;
  std::uint32_t Status = 0;
  std::string Body;

  MSGPACK_DEFINE(Number, Status, Body)
};

/// Envelope of `pool_report` and `pool_grant`: names the pool.
struct pool_message {
  std::uint32_t Pool = 0;
  std::string Content;

  MSGPACK_DEFINE(Pool, Content)
};

} // namespace arbutus::control

#endif
