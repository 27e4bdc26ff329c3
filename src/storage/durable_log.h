#ifndef ARBUTUS_STORAGE_DURABLE_LOG_H
#define ARBUTUS_STORAGE_DURABLE_LOG_H

#include "consensus/log_entry.h"
#include "consensus/output.h"
#include "storage/file_operations.h"
#include "storage/storage_error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace arbutus::storage {

/// Size at which a new log segment starts.
inline constexpr std::size_t DefaultSegmentBytes =
    std::size_t{16} * 1024 * 1024;

/// Options of `durable_log::open`.
struct durable_log_options {
  std::string Directory;
  node_id Node{};
  /// True only for the very first start of one of the first voters. Without it,
  /// an empty directory counts as lost or new: it gets `NewDirectoryId`, and
  /// the node does not vote until it is added to the membership again. With it,
  /// a directory that has an identity is rejected with `AlreadyInitialized`.
  bool Bootstrap = false;
  /// Membership to start with; used with `Bootstrap` only.
  consensus::cluster_membership InitialVoters;
  /// Id of an empty directory without `Bootstrap`: a random number other than
  /// zero.
  consensus::data_directory_id NewDirectoryId{};
  std::size_t SegmentBytes = DefaultSegmentBytes;
};

/// Result of `durable_log::open`.
struct open_result;

/// A voter's hard state, log and snapshot in one data directory, which it locks
/// against other processes. Not thread-safe. After a failed write or sync,
/// every later write, sync or snapshot returns `Stopped`, and unsynced writes
/// must not be acknowledged.
class durable_log {
public:
  /// Opens or creates the directory and reads its content. A torn tail of the
  /// log is removed; damage before the tail fails with `Corrupt`.
  [[nodiscard]] static storage_result<open_result>
  open(const durable_log_options &Options,
       file_operations Files = posixFileOperations());

  durable_log(durable_log &&) noexcept;
  durable_log &operator=(durable_log &&) noexcept;
  ~durable_log();

  /// Applies the writes of one output without syncing log entries, so that
  /// several outputs can share one `sync`. Hard state and snapshots are synced
  /// at once.
  [[nodiscard]] storage_result<void>
  write(const consensus::disk_writes &Writes);

  /// Syncs everything written so far as one group commit.
  [[nodiscard]] storage_result<void> sync();

  /// Atomically saves a snapshot of the caller's state machine; one that is not
  /// newer than the latest is ignored. A full disk leaves the log usable. On
  /// success the snapshot is synced and older ones are removed.
  [[nodiscard]] storage_result<void>
  saveSnapshot(const consensus::snapshot &Snapshot);

  /// Prepares a stopped log for reopening: checks that the disk accepts writes,
  /// then truncates everything that was not synced. After a failed sync, such
  /// bytes may be lost on disk but still readable from the page cache. The log
  /// stays stopped; destroy it before opening the directory again.
  [[nodiscard]] storage_result<void> discardUnsynced();

  /// Total size of the log segments in bytes.
  [[nodiscard]] std::uint64_t logBytes() const noexcept;

  /// True after a failed write or sync.
  [[nodiscard]] bool stopped() const noexcept;

private:
  struct state;
  explicit durable_log(std::unique_ptr<state> State) noexcept;
  std::unique_ptr<state> State;
};

struct open_result {
  durable_log Log;
  consensus::recovered_state Recovered;
  consensus::data_directory_id DirectoryId{};
  /// True if the directory had no identity and this was not a bootstrap.
  bool DirectoryInitialized = false;
  /// Size in bytes of the torn tail that was removed.
  std::uint64_t TornBytes = 0;
};

} // namespace arbutus::storage

#endif
