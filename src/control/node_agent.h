#ifndef ARBUTUS_CONTROL_NODE_AGENT_H
#define ARBUTUS_CONTROL_NODE_AGENT_H

#include "consensus/cluster_membership.h"
#include "control/leader_channel.h"
#include "control/messages.h"
#include "control/pool_host.h"
#include "net/message_kind.h"
#include "router/router_context.h"
#include "settings/settings.h"
#include "store/config_replica.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::control {

/// A process's part in the fleet: its session with the leader, its copy of the
/// configuration, its pool reports and the grantors that it hosts. All of it
/// runs on the control thread.
class node_agent {
public:
  /// Passes a frame to a node, this one included.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;
  /// Called with the live nodes whenever the list has changed.
  using nodes_function =
      std::function<void(const std::vector<membership::live_node> &)>;
  /// Called with a larger incarnation when the old one was closed.
  using incarnation_function = std::function<void(incarnation)>;

  node_agent(asio::io_context &Io, const settings::settings &Settings,
             send_function Send, nodes_function OnNodes,
             incarnation_function OnIncarnation);
  node_agent(const node_agent &) = delete;
  node_agent &operator=(const node_agent &) = delete;

  /// Starts heartbeats and reports. `Context` must outlive the agent.
  void start(router::router_context &Context);

  /// Takes a frame that arrived from a node.
  void onFrame(node_id From, incarnation Incarnation, net::message_kind Kind,
               const std::string &Payload);

  /// Sends a store command to the leader, if one is known.
  void sendCommand(std::uint64_t Number, const std::string &Command);

  /// Sends reports that are due and arms the timer for the next.
  void flushReports();

  /// Announces that this node is leaving, in the next heartbeat.
  void announceLeaving();

  /// Identity of this node's data directory, told in heartbeats.
  void setDisk(consensus::data_directory_id Disk) { OwnDisk = Disk; }

  /// Nodes that keep the replicated log, as far as this node knows.
  [[nodiscard]] const std::set<node_id> &controlNodes() const noexcept {
    return ControlNodes;
  }

  [[nodiscard]] leader_channel &leader() noexcept { return Leader; }

private:
  void heartbeat();
  void learnControlNodes(const heartbeat_reply_message &Reply);
  void onForeignHeartbeat(node_id From, const heartbeat_message &Heartbeat);
  void armHeartbeat();
  void armExpiry();
  void onHeartbeatReply(node_id From, const heartbeat_reply_message &Reply);
  void takeLease(const heartbeat_reply_message &Reply);
  void takeNodes(const heartbeat_reply_message &Reply);
  void onConfigUpdate(const store::config_update &Update);
  void renewIncarnation(incarnation Closed);
  void sendToLeader(net::message_kind Kind, const std::string &Payload);

  const settings::settings &Settings;
  send_function Send;
  nodes_function OnNodes;
  incarnation_function OnIncarnation;
  asio::steady_timer HeartbeatTimer;
  asio::steady_timer ReportTimer;
  asio::steady_timer ExpiryTimer;
  leader_channel Leader;
  pool_host Pools;
  router::router_context *Context = nullptr;
  store::config_replica Replica;
  std::shared_ptr<const store::config_view> View;
  /// Where heartbeats go. The configured voters or seeds are asked too while
  /// no leader is known, and now and then, since they may be other nodes.
  std::set<node_id> ControlNodes;
  std::optional<consensus::data_directory_id> OwnDisk;
  std::uint64_t Heartbeats = 0;
  std::optional<node_id> LeaderNode;
  instant LeaderHeard;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t NodesTerm = 0;
  std::uint64_t NodesVersion = 0;
  bool Leaving = false;
};

} // namespace arbutus::control

#endif
