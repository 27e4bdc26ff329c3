#ifndef ARBUTUS_CONTROL_VOTER_H
#define ARBUTUS_CONTROL_VOTER_H

#include "base/ids.h"
#include "consensus/cluster_membership.h"
#include "control/instance_list.h"
#include "net/message_kind.h"
#include "settings/settings.h"
#include "storage/file_operations.h"
#include "storage/storage_error.h"

#include <functional>
#include <memory>
#include <string>

namespace arbutus::control {

/// A received frame, from a peer or from this process itself.
struct voter_frame {
  node_id From{};
  incarnation Incarnation{};
  net::message_kind Kind{};
  std::string Payload;
};

/// Snapshot of a voter's state, for metrics.
struct voter_status {
  bool IsLeader = false;
  std::uint64_t Term = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t LogBytes = 0;
  bool StorageFailed = false;
  consensus::data_directory_id DirectoryId{};
};

/// Creates the data directory of an initial voter. This is a separate step,
/// which `voter::start` only takes if the settings bootstrap the fleet: a voter
/// that lost its data directory must not rejoin as if it had never voted. Fails
/// with `AlreadyInitialized` when the directory already has an identity.
[[nodiscard]] storage::storage_result<void>
initializeVoterDirectory(const settings::settings &Settings);

/// A voter of the Raft group: consensus, durable log, the store and, while it
/// leads, `leader_duties`. It runs on its own thread, because a sync may block.
class voter {
public:
  /// Sends a frame to a node, which may be this one. Called on the voter
  /// thread.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  /// Opens the data directory and starts the thread. After a failed write or
  /// sync the voter neither votes nor replicates until it can reopen the data
  /// directory; it then recovers from it as after a restart.
  [[nodiscard]] static storage::storage_result<std::unique_ptr<voter>>
  start(const settings::settings &Settings, const send_function &Send,
        const storage::file_operations &Files = storage::posixFileOperations());

  voter(const voter &) = delete;
  voter &operator=(const voter &) = delete;
  ~voter();

  /// Queues a received frame. Thread-safe; does not wait for I/O.
  void post(voter_frame Frame);

  /// Queues the list of instances that discovery has read. A voter that does
  /// not lead ignores it. Thread-safe.
  void postInstances(instance_list List);

  /// Notes that the server of the list of instances does not answer.
  /// Thread-safe.
  void postDiscoveryFailure();

  [[nodiscard]] voter_status status() const;

private:
  struct state;
  explicit voter(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace arbutus::control

#endif
