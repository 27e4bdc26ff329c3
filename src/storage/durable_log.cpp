#include "storage/durable_log.h"

#include "storage/segment_log.h"
#include "storage/voter_files.h"
#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace arbutus::storage {

using namespace impl;

namespace {

/// File written to check whether the disk accepts writes again.
const std::string WriteProbeName = "probe";
/// Free space that a disk must have before a voter uses it again: enough for a
/// vote or some entries.
constexpr std::size_t WriteProbeBytes = std::size_t{16} * 1024;

/// Drops the entries before `Index`, which the snapshot covers.
void dropEntriesBefore(std::uint64_t Index,
                       std::vector<consensus::log_entry> &Entries) {
  const auto FirstKept =
      std::find_if(Entries.begin(), Entries.end(),
                   [Index](const auto &Entry) { return Entry.Index >= Index; });
  Entries.erase(Entries.begin(), FirstKept);
}

} // namespace

/// State of an open data directory.
struct durable_log::state {
  state(const durable_log_options &Options, file_operations Operations)
      : Files(std::move(Operations)), Directory(Options.Directory),
        Log(Files, Options.Directory + "/" + LogName, Options.SegmentBytes) {}

  file_operations Files;
  std::string Directory;
  open_file Lock;
  segment_log Log;
  std::uint64_t SnapshotIndex = 0;
  bool Stopped = false;

  storage_result<void> acquireLock();
  storage_result<void> makeDirectories();
  storage_result<void> initializeDirectory(const durable_log_options &Options,
                                           open_result &Opened);
  storage_result<void> recoverDirectory(open_result &Opened);
  storage_result<bool>
  logExtendsSnapshot(const consensus::recovered_state &State);
  storage_result<void> write(const consensus::disk_writes &Writes);

  /// Returns `Result` and stops the log if it is a failure.
  storage_result<void> stopOnFailure(storage_result<void> Result) {
    Stopped = Stopped || !Result;
    return Result;
  }
  [[nodiscard]] storage_error stoppedError() const {
    return {storage_errc::Stopped, Directory, "an earlier write failed", 0};
  }
};

storage_result<void> durable_log::state::acquireLock() {
  const auto Path = Directory + "/" + LockName;
  BOOST_OUTCOME_TRY(File, open_file::open(Files, Path, O_RDWR | O_CREAT));
  Lock = std::move(File);
  if (Files.Lock(Lock.descriptor()) == 0) {
    return outcome::success();
  }
  auto Error = errorFromErrno(Path, "lock");
  if (Error.Errno == EWOULDBLOCK) {
    Error.Code = storage_errc::Locked;
  }
  return Error;
}

storage_result<void> durable_log::state::makeDirectories() {
  BOOST_OUTCOME_TRY(makeDirectory(Files, Directory + "/" + LogName));
  BOOST_OUTCOME_TRY(makeDirectory(Files, Directory + "/" + SnapshotName));
  return syncDirectory(Files, Directory);
}

/// Initializes a directory without an identity. The identity is written last,
/// so that an interrupted initialization is repeated.
storage_result<void>
durable_log::state::initializeDirectory(const durable_log_options &Options,
                                        open_result &Opened) {
  if (!Options.Bootstrap &&
      Options.NewDirectoryId == consensus::BootstrapDirectoryId) {
    return storage_error{storage_errc::InvalidArgument, Directory,
                         "the identity of an empty disk must not be zero", 0};
  }
  BOOST_OUTCOME_TRY(makeDirectories());
  BOOST_OUTCOME_TRY(Hard, readHardState(Files, Directory));
  BOOST_OUTCOME_TRY(Snapshot, readSnapshot(Files, Directory));
  BOOST_OUTCOME_TRY(Entries, Log.open(0, Opened.TornBytes));
  const bool HasState = Snapshot || Entries.size() > 1 ||
                        (Hard && (Hard->Term > 1 || Hard->VotedFor));
  if (HasState) {
    return storage_error{storage_errc::IdentityMissing, Directory,
                         "log or hard state without an identity file", 0};
  }
  BOOST_OUTCOME_TRY(Log.clear());
  BOOST_OUTCOME_TRY(Log.createSegment(1));
  auto DirectoryId = Options.NewDirectoryId;
  if (Options.Bootstrap) {
    DirectoryId = consensus::BootstrapDirectoryId;
    Opened.Recovered = consensus::bootstrapState(Options.InitialVoters);
    BOOST_OUTCOME_TRY(Log.append(Opened.Recovered.Entries));
    BOOST_OUTCOME_TRY(Log.sync());
  }
  BOOST_OUTCOME_TRY(
      writeHardState(Files, Directory, Opened.Recovered.HardState));
  BOOST_OUTCOME_TRY(writeIdentity(
      Files, Directory, consensus::member(Options.Node, DirectoryId)));
  Opened.DirectoryId = DirectoryId;
  Opened.DirectoryInitialized = !Options.Bootstrap;
  return outcome::success();
}

/// Reads a directory that has an identity.
storage_result<void> durable_log::state::recoverDirectory(open_result &Opened) {
  auto &State = Opened.Recovered;
  BOOST_OUTCOME_TRY(Hard, readHardState(Files, Directory));
  if (!Hard) {
    return storage_error{storage_errc::Corrupt, Directory + "/" + HardStateName,
                         "missing", 0};
  }
  State.HardState = *Hard;
  BOOST_OUTCOME_TRY(Snapshot, readSnapshot(Files, Directory));
  State.Snapshot = std::move(Snapshot);
  SnapshotIndex = State.Snapshot ? State.Snapshot->Meta.Index : 0;
  BOOST_OUTCOME_TRY(Entries, Log.open(SnapshotIndex, Opened.TornBytes));
  State.Entries = std::move(Entries);
  // A rename before the restart may not be durable yet.
  BOOST_OUTCOME_TRY(syncDirectory(Files, Directory));
  BOOST_OUTCOME_TRY(syncDirectory(Files, Directory + "/" + SnapshotName));
  BOOST_OUTCOME_TRY(Continues, logExtendsSnapshot(State));
  if (!Continues) {
    State.Entries.clear();
    BOOST_OUTCOME_TRY(Log.clear());
  }
  dropEntriesBefore(SnapshotIndex, State.Entries);
  return outcome::success();
}

/// Returns false if the snapshot replaces the whole log. A crash between saving
/// a received snapshot and clearing the log leaves this state behind.
storage_result<bool> durable_log::state::logExtendsSnapshot(
    const consensus::recovered_state &State) {
  const auto &Entries = State.Entries;
  const auto Corrupt = [this](std::string Detail) {
    return storage_error{storage_errc::Corrupt, Directory + "/" + LogName,
                         std::move(Detail), 0};
  };
  // A segment is created with the directory. The last one is removed only when
  // a snapshot replaces the log.
  if (Log.endIndex() == 0 && SnapshotIndex == 0) {
    return Corrupt("no segment");
  }
  if (Entries.empty()) {
    return Log.endIndex() == SnapshotIndex + 1;
  }
  if (Entries.back().Term > State.HardState.Term) {
    return Corrupt("entry of a later term than the hard state");
  }
  const auto First = Entries.front().Index;
  if (First > SnapshotIndex + 1) {
    return Corrupt("entries before " + std::to_string(First) + " are missing");
  }
  if (First == SnapshotIndex + 1) {
    return true;
  }
  return Entries.back().Index >= SnapshotIndex &&
         Entries[SnapshotIndex - First].Term == State.Snapshot->Meta.Term;
}

storage_result<void>
durable_log::state::write(const consensus::disk_writes &Writes) {
  if (Writes.HardState) {
    BOOST_OUTCOME_TRY(writeHardState(Files, Directory, *Writes.HardState));
  }
  if (Writes.Snapshot) {
    BOOST_OUTCOME_TRY(writeSnapshot(Files, Directory, *Writes.Snapshot));
    SnapshotIndex = Writes.Snapshot->Meta.Index;
  }
  if (Writes.ResetLog) {
    BOOST_OUTCOME_TRY(Log.clear());
  }
  if (Writes.TruncateFrom) {
    BOOST_OUTCOME_TRY(Log.truncateFrom(*Writes.TruncateFrom));
  }
  if (!Writes.EntriesToAppend.empty()) {
    const bool Follows =
        Log.endIndex() != 0 ||
        Writes.EntriesToAppend.front().Index == SnapshotIndex + 1;
    if (!Follows) {
      return storage_error{storage_errc::InvalidArgument, Directory,
                           "entries do not follow the snapshot", 0};
    }
    BOOST_OUTCOME_TRY(Log.append(Writes.EntriesToAppend));
  }
  if (Writes.CompactThrough) {
    BOOST_OUTCOME_TRY(
        Log.compactThrough(std::min(*Writes.CompactThrough, SnapshotIndex)));
  }
  return outcome::success();
}

storage_result<open_result>
durable_log::open(const durable_log_options &Options, file_operations Files) {
  open_result Opened{
      durable_log(std::make_unique<state>(Options, std::move(Files))),
      {},
      {},
      false,
      0};
  auto &State = *Opened.Log.State;
  BOOST_OUTCOME_TRY(makeDirectory(State.Files, State.Directory));
  BOOST_OUTCOME_TRY(State.acquireLock());
  BOOST_OUTCOME_TRY(Identity, readIdentity(State.Files, State.Directory));
  if (!Identity) {
    BOOST_OUTCOME_TRY(State.initializeDirectory(Options, Opened));
    return Opened;
  }
  if (Identity->node() != Options.Node) {
    return storage_error{storage_errc::WrongNode, State.Directory,
                         "belongs to node " + std::to_string(Identity->Node),
                         0};
  }
  if (Options.Bootstrap) {
    return storage_error{storage_errc::AlreadyInitialized, State.Directory,
                         "bootstrap of a directory that was started before", 0};
  }
  Opened.DirectoryId = Identity->directoryId();
  BOOST_OUTCOME_TRY(State.recoverDirectory(Opened));
  return Opened;
}

durable_log::durable_log(std::unique_ptr<state> State) noexcept
    : State(std::move(State)) {}
durable_log::durable_log(durable_log &&) noexcept = default;
durable_log &durable_log::operator=(durable_log &&) noexcept = default;
durable_log::~durable_log() = default;

storage_result<void> durable_log::write(const consensus::disk_writes &Writes) {
  if (State->Stopped) {
    return State->stoppedError();
  }
  return State->stopOnFailure(State->write(Writes));
}

storage_result<void> durable_log::sync() {
  if (State->Stopped) {
    return State->stoppedError();
  }
  return State->stopOnFailure(State->Log.sync());
}

storage_result<void>
durable_log::saveSnapshot(const consensus::snapshot &Snapshot) {
  if (State->Stopped) {
    return State->stoppedError();
  }
  if (Snapshot.Meta.Index <= State->SnapshotIndex) {
    return outcome::success();
  }
  auto Saved = writeSnapshot(State->Files, State->Directory, Snapshot);
  if (!Saved) {
    // If only the snapshot could not be written, the log is unchanged and
    // usable.
    return Saved.error().Code == storage_errc::SyncFailed
               ? State->stopOnFailure(std::move(Saved))
               : std::move(Saved);
  }
  State->SnapshotIndex = Snapshot.Meta.Index;
  return outcome::success();
}

storage_result<void> durable_log::discardUnsynced() {
  State->Stopped = true;
  BOOST_OUTCOME_TRY(replaceFile(State->Files, State->Directory, WriteProbeName,
                                std::string(WriteProbeBytes, '\0')));
  BOOST_OUTCOME_TRY(
      removeFile(State->Files, State->Directory + "/" + WriteProbeName));
  return State->Log.discardUnsynced();
}

std::uint64_t durable_log::logBytes() const noexcept {
  return State->Log.bytes();
}

bool durable_log::stopped() const noexcept { return State->Stopped; }

} // namespace arbutus::storage
