#ifndef ARBUTUS_CONTROL_LEADER_DUTIES_H
#define ARBUTUS_CONTROL_LEADER_DUTIES_H

#include "consensus/cluster_membership.h"
#include "consensus/input.h"
#include "control/config_pusher.h"
#include "control/messages.h"
#include "membership/grantor_placement.h"
#include "membership/session_table.h"
#include "net/message_kind.h"
#include "store/commands.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::control {

/// What a leader does besides replicating: sessions, leases, configuration
/// distribution and placement of grantors. It only leads while `Leading` says
/// that the leader lease holds and the store is up to date.
class leader_duties {
public:
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  leader_duties(node_id Self, send_function Send)
      : Self(Self), Send(std::move(Send)) {}

  /// Notes a heartbeat. A leader answers with lease and nodes, another voter
  /// with a hint.
  void onHeartbeat(node_id From, incarnation Incarnation,
                   const heartbeat_message &Heartbeat,
                   std::optional<node_id> Leader, bool Leading,
                   const consensus::cluster_membership &Voters,
                   const store::state_machine &Store, instant Now);

  /// The change of voters that is due, if any.
  [[nodiscard]] std::optional<consensus::membership_change>
  voterChange(const consensus::cluster_membership &Voters, instant Now);

  /// Carries out what is due and returns commands to propose.
  [[nodiscard]] std::vector<store::command>
  tick(std::uint64_t Term, const store::state_machine &Store, instant Now);

  /// Time for log entries, in milliseconds since the Unix epoch. It goes on
  /// from the log's own time by the monotonic clock, because a wall clock that
  /// jumps ahead would expire claims early and let requests run twice.
  [[nodiscard]] std::int64_t logTimeMs(instant Now) const noexcept;

  /// The term's duties end; nothing is sent until the next `tick`.
  void stop() noexcept { Term = 0; }

  [[nodiscard]] std::vector<membership::live_node> liveNodes() const {
    return Sessions.liveNodes();
  }

private:
  struct heard_node {
    membership::prior_session Known;
    instant At;
    std::optional<consensus::data_directory_id> Disk;
  };

  void begin(std::uint64_t NewTerm, const store::state_machine &Store,
             instant Now);
  void takeEvents(std::vector<store::command> &Commands, instant Now);
  void placePools(const store::state_machine &Store,
                  std::vector<store::command> &Commands);
  void abandonOrphans(const store::state_machine &Store,
                      std::vector<store::command> &Commands);
  void sendNodes(node_id To, const store::state_machine &Store);

  node_id Self;
  send_function Send;
  membership::session_table Sessions;
  config_pusher Config;
  std::map<node_id, heard_node> Heard;
  std::uint64_t Term = 0;
  instant TermStart;
  std::int64_t TermStartLogMs = 0;
  std::uint64_t SentVersion = 0;
  instant LastPlacement;
  instant LastExpire;
  instant LastVoterCheck;
  bool OrphansAbandoned = false;
};

} // namespace arbutus::control

#endif
