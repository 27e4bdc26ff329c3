#ifndef ARBUTUS_CONTROL_VOTER_STATE_H
#define ARBUTUS_CONTROL_VOTER_STATE_H

#include "consensus/consensus.h"
#include "control/leader_duties.h"
#include "control/memory_limits.h"
#include "control/order_filter.h"
#include "control/resource_api.h"
#include "control/voter.h"
#include "control/voter_queue.h"
#include "storage/storage.h"
#include "store/state_machine.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace arbutus::control {

/// An order without a version, which `order_filter` decides on.
struct unversioned_order {
  /// The failure domain or the service that it is on.
  std::string Subject;
  std::string Description;
  /// The object if it is as the order asks, else null.
  store::resource_ptr InForce;
};

/// State of a voter. Its functions run on the voter thread and stand in
/// voter.cpp (loop, consensus), voter_requests.cpp (requests of other nodes and
/// their replies) and voter_storage.cpp (data directory).

struct voter::state {
  state(const settings::settings &Settings, const send_function &Send,
        const storage::file_operations &Files, storage::open_result Opened);

  void run();
  void handleFrame(const voter_frame &Frame, instant Now);
  void handleRaft(const voter_frame &Frame, instant Now);
  void handleHeartbeat(const voter_frame &Frame, instant Now);
  void handleClaimRequest(const voter_frame &Frame, instant Now);
  void handleAdminRequest(const voter_frame &Frame, instant Now);
  void proposeInstanceChanges(const instance_list &List, instant Now);
  void proposeMembershipChange(instant Now);
  void step(const consensus::input &Input, instant Now);
  void propose(instant Now);
  void processOutputs(instant Now);
  bool writeOutputs(const std::vector<consensus::output> &Batch,
                    std::uint64_t &Sequence);
  void applyEntry(const consensus::log_entry &Entry);
  [[nodiscard]] bool admitOrder(const unversioned_order &Order,
                                const api_request_message &Request,
                                command_requester &Requester, instant Now);
  void reply(const command_requester &Requester,
             const store::command_outcome &Outcome);
  void replyToOperator(const command_requester &Requester,
                       api_response Response);
  void saveSnapshot(instant Now);
  bool isLeading(instant Now) const;
  void publishStatus(instant Now);
  void handleStorageFailure(const storage::storage_error &Error, instant Now);
  void recoverStore();
  [[nodiscard]] consensus::raft_options raftOptions() const;
  [[nodiscard]] bool hasRoomFor(const voter_frame &Frame) const;
  void tryRecoverStorage(instant Now);
  [[nodiscard]] storage::storage_result<storage::open_result> reopenLog();

  settings::settings Settings;
  voter_limits Limits;
  storage::file_operations Files;
  consensus::data_directory_id DirectoryId;
  send_function Send;
  /// Empty while the data directory cannot be reopened.
  std::optional<storage::durable_log> Log;
  consensus::raft_node Raft;
  store::state_machine Store;
  leader_duties Duties;
  order_filter Orders;
  std::uint64_t AppliedIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  /// Payload bytes of the entries applied since the latest snapshot.
  std::uint64_t BytesSinceSnapshot = 0;
  bool StorageFailed = false;
  /// Time of the next attempt to reopen the data directory; empty if its
  /// content is corrupt, which another attempt cannot repair.
  std::optional<instant> ReopenAt;
  std::vector<consensus::output> Outputs;
  std::vector<queued_command> Queue;
  /// Bytes of the frames that the queued commands came in.
  std::uint64_t QueuedBytes = 0;
  std::map<std::uint64_t, proposed_entry> ProposedEntries;

  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::vector<voter_frame> Inbox;
  std::optional<instance_list> PendingInstances;
  bool DiscoveryFailed = false;
  bool Stopping = false;
  voter_status Status;
  std::thread Thread;
};

} // namespace arbutus::control

#endif
