#ifndef ARBUTUS_CONTROL_NODE_AGENT_H
#define ARBUTUS_CONTROL_NODE_AGENT_H

#include "consensus/cluster_membership.h"
#include "control/leader_channel.h"
#include "control/leader_clock.h"
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

/// Connects a process to the rest of the fleet: its session with the leader,
/// its replica of the configuration, its pool reports and the grantors that it
/// hosts. Control thread only.
class node_agent {
public:
  /// Sends a frame to a node, which may be this one.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;
  /// Called with the live nodes when the list has changed.
  using nodes_function =
      std::function<void(const std::vector<membership::live_node> &)>;
  /// Called with the next incarnation when the leader has ended this one.
  using incarnation_function = std::function<void(incarnation)>;

  node_agent(asio::io_context &Io, const settings::settings &Settings,
             send_function Send, nodes_function OnNodes,
             incarnation_function OnIncarnation);
  node_agent(const node_agent &) = delete;
  node_agent &operator=(const node_agent &) = delete;

  /// Starts heartbeats and reports. `Context` must outlive the agent.
  void start(router::router_context &Context);

  /// Handles a received frame.
  void onFrame(node_id From, incarnation Incarnation, net::message_kind Kind,
               const std::string &Payload);

  /// Sends a store command to the leader, or to all control nodes while the
  /// leader is unknown.
  void sendCommand(std::uint64_t Number, const std::string &Command);

  /// Sends the pool reports that are due and starts the timer for the next.
  void flushReports();

  /// Sends a heartbeat that announces that this node is draining.
  void announceDraining();

  /// Sets the data directory id that heartbeats carry.
  void setDirectoryId(consensus::data_directory_id DirectoryId) {
    OwnDirectoryId = DirectoryId;
  }

  /// Voters and learners that this node knows.
  [[nodiscard]] const std::set<node_id> &controlNodes() const noexcept {
    return ControlNodes;
  }

  [[nodiscard]] leader_channel &leader() noexcept { return Leader; }

private:
  void heartbeat();
  void updateControlNodes(const heartbeat_reply_message &Reply);
  void replyWithLeaderHint(node_id From, const heartbeat_message &Heartbeat);
  void armHeartbeat();
  void armExpiry();
  void onHeartbeatReply(node_id From, const heartbeat_reply_message &Reply);
  void applyLease(const heartbeat_reply_message &Reply);
  void applyLiveNodes(const heartbeat_reply_message &Reply);
  void onConfigUpdate(const store::config_update &Update);
  void renewIncarnation(incarnation LastEnded);
  void sendAdminRequest(api_request_message Request,
                        const request_times &Times);
  void sendToLeader(net::message_kind Kind, const std::string &Payload);

  const settings::settings &Settings;
  const instant StartedAt = monotonic_clock::now();
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
  /// Receivers of heartbeats. The configured voters also get them while no
  /// leader is known and at regular intervals, because they may not be among
  /// the known control nodes.
  std::set<node_id> ControlNodes;
  std::optional<consensus::data_directory_id> OwnDirectoryId;
  std::uint64_t HeartbeatCount = 0;
  std::optional<node_id> LeaderNode;
  instant LastLeaderReply;
  std::uint64_t LeaderTerm = 0;
  leader_clock LeaderClock;
  std::uint64_t NodesTerm = 0;
  std::uint64_t NodesVersion = 0;
  bool Draining = false;
};

} // namespace arbutus::control

#endif
