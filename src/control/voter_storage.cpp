#include "base/log.h"
#include "control/voter_log.h"
#include "control/voter_state.h"

#include <memory>
#include <random>
#include <utility>

namespace arbutus::control {

namespace {

/// Applied entries after which a snapshot is saved. It bounds the entries that
/// a restart has to replay.
constexpr std::uint64_t EntriesPerSnapshot = 2000;
/// Time between two attempts to reopen the data directory after a failed write
/// or sync.
constexpr duration ReopenInterval = 500ms;

} // namespace

/// Restores the store from the snapshot that `Raft` was recovered with.
void voter::state::recoverStore() {
  Store = store::state_machine();
  AppliedIndex = 0;
  SnapshotIndex = 0;
  BytesSinceSnapshot = 0;
  const auto &Snapshot = Raft.latestSnapshot();
  if (!Snapshot) {
    return;
  }
  if (Store.restore(*Snapshot->Data).has_error()) {
    logEvent(log_level::Error, "snapshot_unreadable",
             {{"index", Snapshot->Meta.Index}});
    StorageFailed = true;
  }
  AppliedIndex = Snapshot->Meta.Index;
  SnapshotIndex = AppliedIndex;
}

storage::storage_result<storage::open_result> voter::state::reopenLog() {
  if (Log) {
    BOOST_OUTCOME_TRY(Log->discardUnsynced());
    Log.reset(); // Releases the lock on the directory.
  }
  return openVoterLog(Settings, Files);
}

void voter::state::tryRecoverStorage(instant Now) {
  if (!ReopenAt || Now < *ReopenAt) {
    return;
  }
  auto Opened = reopenLog();
  if (Opened.has_error()) {
    logEvent(log_level::Debug, "storage_still_failing",
             {{"code", nameOf(Opened.error().Code)},
              {"file", Opened.error().File},
              {"detail", Opened.error().Detail}});
    ReopenAt = Now + ReopenInterval;
    return;
  }
  ReopenAt.reset();
  StorageFailed = false;
  DirectoryId = Opened.value().DirectoryId;
  Log = std::move(Opened.value().Log);
  // Commands that were not committed get no reply; their senders resend them.
  Outputs.clear();
  Queue.clear();
  QueuedBytes = 0;
  ProposedEntries.clear();
  Duties.endTerm();
  Orders.reset();
  Raft =
      consensus::raft_node(raftOptions(), std::move(Opened.value().Recovered),
                           std::mt19937_64(std::random_device{}()), Now);
  recoverStore();
  logEvent(log_level::Info, "storage_recovered",
           {{"snapshot_index", SnapshotIndex},
            {"last_index", Raft.status().LastIndex},
            {"torn_bytes", Opened.value().TornBytes}});
}

bool voter::state::writeOutputs(const std::vector<consensus::output> &Batch,
                                std::uint64_t &Sequence) {
  for (const auto &Output : Batch) {
    if (Output.Writes.empty()) {
      continue;
    }
    if (const auto Written = Log->write(Output.Writes); Written.has_error()) {
      handleStorageFailure(Written.error(), monotonic_clock::now());
      return false;
    }
    Sequence = Output.Writes.Sequence;
  }
  if (Sequence != 0) {
    if (const auto Synced = Log->sync(); Synced.has_error()) {
      handleStorageFailure(Synced.error(), monotonic_clock::now());
      return false;
    }
  }
  return true;
}

void voter::state::saveSnapshot(instant Now) {
  const bool Due = AppliedIndex >= SnapshotIndex + EntriesPerSnapshot ||
                   BytesSinceSnapshot >= Limits.SnapshotBytes;
  if (StorageFailed || !Due) {
    return;
  }
  const auto Meta = Raft.snapshotMeta(AppliedIndex);
  if (!Meta) {
    return;
  }
  const auto Data = std::make_shared<const std::string>(Store.snapshot());
  if (const auto Saved = Log->saveSnapshot({*Meta, Data}); Saved.has_error()) {
    handleStorageFailure(Saved.error(), Now);
    return;
  }
  SnapshotIndex = AppliedIndex;
  BytesSinceSnapshot = 0;
  step(consensus::snapshot_saved{AppliedIndex, Data}, Now);
  processOutputs(Now);
  logEvent(log_level::Info, "snapshot_saved",
           {{"index", SnapshotIndex},
            {"bytes", Data->size()},
            {"log_bytes", Log->logBytes()}});
}

void voter::state::handleStorageFailure(const storage::storage_error &Error,
                                        instant Now) {
  logEvent(log_level::Error, "storage_failed",
           {{"code", nameOf(Error.Code)},
            {"file", Error.File},
            {"detail", Error.Detail},
            {"errno", Error.Errno}});
  StorageFailed = true;
  // A full disk or a failed write may recover; corrupt content does not.
  if (Error.Code != storage::storage_errc::Corrupt) {
    ReopenAt = Now + ReopenInterval;
  }
  step(consensus::storage_failed{}, Now);
  Outputs.clear();
}

} // namespace arbutus::control
