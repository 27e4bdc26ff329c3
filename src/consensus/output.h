#ifndef ARBUTUS_CONSENSUS_OUTPUT_H
#define ARBUTUS_CONSENSUS_OUTPUT_H

#include "base/name_table.h"
#include "consensus/message.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace arbutus::consensus {

/// Writes to carry out in the order of the members. `Sequence` is zero if there
/// is nothing to write.
struct disk_writes {
  std::uint64_t Sequence = 0;
  std::optional<hard_state> HardState;
  /// A snapshot received from the leader. If `ResetLog`, it replaces the whole
  /// log; otherwise the entries up to its index may be removed.
  std::optional<snapshot> Snapshot;
  bool ResetLog = false;
  /// Entries from this index on must be removed.
  std::optional<std::uint64_t> TruncateFrom;
  std::vector<log_entry> EntriesToAppend;
  /// Entries up to and including this index are no longer needed.
  std::optional<std::uint64_t> CompactThrough;

  [[nodiscard]] bool empty() const noexcept { return Sequence == 0; }
};

/// Why a proposal, a membership change or a read was rejected. A rejected input
/// leaves the log unchanged.
enum class rejection_reason : std::uint8_t {
  NotLeader,
  LeaseExpired,     ///< read: no recent enough replies from a majority
  NoCommitInTerm,   ///< no entry of this term is committed yet
  ChangeInProgress, ///< an earlier membership change is not committed yet
  AlreadyMember,
  NotMember,
  NotCaughtUp, ///< the learner lacks committed entries; retry later
  LastVoter,   ///< the only voter cannot be removed
  StorageFailed,
};

/// Why an input was rejected, and the leader if it is known.
struct rejection {
  rejection_reason Reason = rejection_reason::NotLeader;
  std::optional<node_id> Leader;
};

/// Log position of accepted proposals or of a membership change. They are
/// committed when an entry with this index and `Term` appears in
/// `output::CommittedEntries`, and lost when the index appears with another
/// term.
struct accepted_range {
  std::uint64_t FirstIndex = 0;
  std::uint64_t LastIndex = 0;
  std::uint64_t Term = 0;
};

/// What the caller must do, in this order: send `MessagesBeforeSync` at any
/// time; write and sync `Writes`; send `MessagesAfterSync`; restore
/// `SnapshotToRestore` and apply `CommittedEntries`; pass `writes_synced` to
/// the node. Outputs of several steps may share one sync if their order is
/// kept.
struct output {
  disk_writes Writes;
  std::vector<message> MessagesBeforeSync;
  std::vector<message> MessagesAfterSync;
  /// Replaces the state machine before `CommittedEntries` are applied.
  std::optional<snapshot> SnapshotToRestore;
  std::vector<log_entry> CommittedEntries;
  std::optional<accepted_range> AcceptedRange;
  std::optional<rejection> Rejection;
};

} // namespace arbutus::consensus

template <> struct arbutus::name_table<arbutus::consensus::rejection_reason> {
  using reason = arbutus::consensus::rejection_reason;
  static constexpr name_row<reason> Rows[] = {
      {reason::NotLeader, "not_leader"},
      {reason::LeaseExpired, "lease_expired"},
      {reason::NoCommitInTerm, "no_entry_of_term"},
      {reason::ChangeInProgress, "change_in_progress"},
      {reason::AlreadyMember, "already_member"},
      {reason::NotMember, "not_member"},
      {reason::NotCaughtUp, "not_caught_up"},
      {reason::LastVoter, "last_voter"},
      {reason::StorageFailed, "storage_failed"},
  };
};

#endif
