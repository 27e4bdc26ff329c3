#ifndef ARBUTUS_CONTROL_VOTER_H
#define ARBUTUS_CONTROL_VOTER_H

#include "base/ids.h"
#include "consensus/cluster_membership.h"
#include "net/message_kind.h"
#include "settings/settings.h"
#include "storage/file_operations.h"
#include "storage/storage_error.h"
#include "store/commands.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::control {

/// One frame for the voter, from the mesh or from this process itself.
struct voter_frame {
  node_id From{};
  incarnation Incarnation{};
  net::message_kind Kind{};
  std::string Payload;
};

/// What a voter knows, for metrics and the status answer.
struct voter_status {
  bool Leader = false;
  std::uint64_t Term = 0;
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  std::uint64_t LogBytes = 0;
  bool StorageFailed = false;
  /// Identity of the data directory.
  consensus::data_directory_id Disk{};
};

/// Creates the data directory of one of the first voters. It is a step of its
/// own, so that a voter whose disk was lost can never take itself for a new
/// one. Fails with `AlreadyInitialized` when the directory is in use.
[[nodiscard]] storage::storage_result<void>
initializeVoterDirectory(const settings::settings &Settings);

/// One voter of the replicated log: consensus, storage, the store and, while
/// it leads, sessions and configuration distribution. It runs on a thread of
/// its own, because a sync may block.
class voter {
public:
  /// Passes a frame to a node, this one included. Called on the voter thread.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  /// Opens the data directory and starts the thread. After a failed write or
  /// sync the voter stands aside until the disk takes writes again; then it
  /// opens the directory anew, as after a restart.
  [[nodiscard]] static storage::storage_result<std::unique_ptr<voter>>
  start(const settings::settings &Settings, const send_function &Send,
        const storage::file_operations &Files = storage::posixFileOperations());

  voter(const voter &) = delete;
  voter &operator=(const voter &) = delete;
  ~voter();

  /// Hands a frame over; safe from any thread, never blocks for I/O.
  void post(voter_frame Frame);

  /// Hands over what discovery has found; a voter that does not lead ignores
  /// it. Safe from any thread.
  void postInstances(std::vector<store::named_instance> Found);

  [[nodiscard]] voter_status status() const;

private:
  struct state;
  explicit voter(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace arbutus::control

#endif
