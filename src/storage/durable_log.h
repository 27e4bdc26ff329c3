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

/// Size at which a new log segment is begun.
inline constexpr std::size_t DefaultSegmentBytes =
    std::size_t{16} * 1024 * 1024;

/// How a data directory is opened.
struct durable_log_options {
  std::string Directory;
  node_id Node{};
  /// True only for the very first start of one of the first voters. An empty
  /// directory without it counts as lost or new: it gets `NewDirectoryId` as
  /// its identity and the node does not vote until it is added again. A
  /// directory that has an identity refuses it with `AlreadyInitialized`.
  bool Bootstrap = false;
  /// The first voters; used with `Bootstrap` only.
  consensus::cluster_membership InitialVoters;
  /// Identity for an empty directory without `Bootstrap`: a random number
  /// other than zero.
  consensus::data_directory_id NewDirectoryId{};
  std::size_t SegmentBytes = DefaultSegmentBytes;
};

/// What opening found, besides the log itself.
struct open_result;

/// The durable part of a voter: hard state, log and snapshot under one data
/// directory that no other process can open. Not thread-safe. After any
/// failed write or sync every later call returns `Stopped`, and what was not
/// yet synced must not be acknowledged.
class durable_log {
public:
  /// Opens or creates the directory and reads everything in it. A torn tail of
  /// the log is removed; damage before the tail is refused with `Corrupt`.
  [[nodiscard]] static storage_result<open_result>
  open(const durable_log_options &Options,
       file_operations Files = posixFileOperations());

  durable_log(durable_log &&) noexcept;
  durable_log &operator=(durable_log &&) noexcept;
  ~durable_log();

  /// Carries out the writes of one output without syncing log entries, so that
  /// several outputs can share one `sync`. Hard state and snapshots are synced
  /// at once.
  [[nodiscard]] storage_result<void>
  write(const consensus::disk_writes &Writes);

  /// Syncs everything written so far: one group commit.
  [[nodiscard]] storage_result<void> sync();

  /// Saves a snapshot of the caller's own state machine atomically; one that is
  /// older than the last is ignored. A full disk leaves the log usable. On
  /// return it is synced and older snapshots are gone.
  [[nodiscard]] storage_result<void>
  saveSnapshot(const consensus::snapshot &Snapshot);

  /// Prepares a stopped log for being opened again: checks that the disk takes
  /// writes, and cuts off what was not synced. A failed sync may have dropped
  /// it from the disk while it still reads back from memory. The log stays
  /// stopped; destroy it before the directory is opened again.
  [[nodiscard]] storage_result<void> discardUnsynced();

  /// Bytes of all log segments.
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
  /// The directory had no identity and this was not a bootstrap.
  bool DirectoryInitialized = false;
  /// Bytes of a torn tail that were removed.
  std::uint64_t TornBytes = 0;
};

} // namespace arbutus::storage

#endif
