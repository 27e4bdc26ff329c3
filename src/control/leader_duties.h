#ifndef ARBUTUS_CONTROL_LEADER_DUTIES_H
#define ARBUTUS_CONTROL_LEADER_DUTIES_H

#include "consensus/cluster_membership.h"
#include "consensus/input.h"
#include "control/config_pusher.h"
#include "control/crash_correlator.h"
#include "control/instance_freshness.h"
#include "control/messages.h"
#include "membership/grantor_placement.h"
#include "membership/session_table.h"
#include "net/message_kind.h"
#include "rollout/rollout_controller.h"
#include "store/commands.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::control {

/// Duties of the Raft leader besides replication: node sessions and leases,
/// configuration distribution, placement of grantors and membership changes.
/// Not thread-safe; the current time is always an argument.
class leader_duties {
public:
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  /// `MaxInstanceAge` bounds the age of the list of instances by which a router
  /// may send requests; nothing if there is no discovery.
  leader_duties(node_id Self, send_function Send,
                std::optional<duration> MaxInstanceAge)
      : Self(Self), Send(std::move(Send)), MaxInstanceAge(MaxInstanceAge) {}

  /// Records a heartbeat and sends the reply. `IsLeading` is true while the
  /// leader lease holds and the store is up to date; the reply may then grant a
  /// lease, and it holds the live nodes if the sender's list is outdated.
  /// Otherwise it only names the leader and the control nodes.
  void onHeartbeat(node_id From, incarnation Incarnation,
                   const heartbeat_message &Heartbeat,
                   std::optional<node_id> Leader, bool IsLeading,
                   const consensus::cluster_membership &Voters,
                   const store::state_machine &Store, instant Now);

  /// Returns the membership change to propose now, if any.
  [[nodiscard]] std::optional<consensus::membership_change>
  dueMembershipChange(const consensus::cluster_membership &Voters, instant Now);

  /// Runs the periodic duties of a leader and returns the commands to propose.
  /// A new `Term` resets the state of the previous one.
  [[nodiscard]] std::vector<store::command>
  tick(std::uint64_t Term, const store::state_machine &Store, instant Now);

  /// Timestamp for new log entries, in milliseconds since the Unix epoch. It
  /// advances from the last timestamp of the log by the monotonic clock: a wall
  /// clock that jumps ahead would expire claims early, and requests could be
  /// executed twice.
  [[nodiscard]] std::int64_t logTimeMs(instant Now) const noexcept;

  /// The store holds the list of instances whose read began at `ReadAt`.
  void onInstancesStored(instant ReadAt, revision Stored) {
    Instances.onStored(ReadAt, Stored);
  }
  /// The server of the list of instances does not answer.
  void onInstancesUnavailable() noexcept { Instances.onServerUnavailable(); }

  /// Stops the duties of the current term until the next `tick`.
  void endTerm() noexcept { Term = 0; }

  [[nodiscard]] std::vector<membership::live_node> liveNodes() const {
    return Sessions.liveNodes();
  }

private:
  struct node_contact {
    membership::prior_session Session;
    instant LastHeartbeat;
    std::optional<consensus::data_directory_id> DirectoryId;
  };

  /// Shortens a lease so that it ends before the router's list of instances is
  /// too old.
  [[nodiscard]] duration limitLease(duration Lease, revision Applied,
                                    instant Now) const;
  void logInstanceAge(const store::state_machine &Store, instant Now);
  void startTerm(std::uint64_t NewTerm, const store::state_machine &Store,
                 instant Now);
  void handleSessionEvents(std::vector<store::command> &Commands, instant Now);
  /// Proposes to refuse requests with prompt segments that crash upstreams.
  void quarantineGuiltySegments(std::vector<store::command> &Commands,
                                instant Now);
  /// Proposes the next phases of running rollouts.
  void advanceRollouts(const store::state_machine &Store,
                       std::vector<store::command> &Commands, instant Now);
  void placeGrantors(const store::state_machine &Store,
                     std::vector<store::command> &Commands);
  void abandonClaimsWithoutSession(const store::state_machine &Store,
                                   std::vector<store::command> &Commands);
  void sendLiveNodes(node_id To, const store::state_machine &Store);

  node_id Self;
  send_function Send;
  std::optional<duration> MaxInstanceAge;
  membership::session_table Sessions;
  config_pusher Config;
  instance_freshness Instances;
  crash_correlator Crashes;
  rollout::rollout_controller Rollouts;
  /// Limits the log to changes.
  bool InstancesOutdated = false;
  std::map<node_id, node_contact> Contacts;
  std::uint64_t Term = 0;
  instant TermStart;
  std::int64_t TermStartLogMs = 0;
  std::uint64_t SentNodesVersion = 0;
  instant LastPlacement;
  instant LastClaimExpiry;
  instant LastVoterCheck;
  instant LastCrashUpdate;
  instant LastRolloutUpdate;
  instant LastRolloutTime;
  bool OwnerlessClaimsAbandoned = false;
};

} // namespace arbutus::control

#endif
