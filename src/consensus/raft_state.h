#ifndef ARBUTUS_CONSENSUS_RAFT_STATE_H
#define ARBUTUS_CONSENSUS_RAFT_STATE_H

#include "consensus/raft_log.h"
#include "consensus/raft_node.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace arbutus::consensus::impl {

/// An outgoing snapshot, with at most one chunk in flight.
struct snapshot_transfer {
  snapshot Source;
  std::uint64_t Offset = 0;
  instant SentAt{};
};

/// A leader's view of one peer.
struct progress {
  std::uint64_t MatchIndex = 0;    ///< synced by the peer and equal to this log
  std::uint64_t NextIndex = 1;     ///< next entry to send
  data_directory_id DirectoryId{}; ///< that `MatchIndex` refers to
  bool Probing = true;             ///< the matching index is not known yet
  std::size_t InFlightAppends = 0;
  /// When probing or pipelining began. Replies to messages sent earlier do not
  /// change the mode. Otherwise, with reordered messages, every rejection would
  /// send all entries again.
  instant ModeChangedAt{};
  instant LastContactAt{};
  /// Send time of the newest acknowledged message.
  std::optional<instant> LastAckedSendTime;
  std::optional<snapshot_transfer> Transfer;
};

/// A snapshot of which some chunks are still missing.
struct incoming_snapshot {
  node_id From{};
  std::uint64_t Term = 0;
  snapshot_meta Meta;
  std::uint64_t TotalBytes = 0;
  std::string Bytes;
};

/// The membership in force from an index on.
struct membership_at_index {
  std::uint64_t Index = 0;
  cluster_membership Membership;
};

/// Writes returned in an output and not known to be synced.
struct unsynced_write {
  std::uint64_t Sequence = 0;
  std::uint64_t LastIndex = 0;
};

/// The state of a node. The functions of election.h, replication.h,
/// snapshot_transfer.h and membership.h operate on it.
struct raft_state {
  raft_options Options;
  std::mt19937_64 Random;
  role Role = role::Follower;
  hard_state HardState;
  raft_log Log;
  std::uint64_t CommitIndex = 0; ///< also the last index in `CommittedEntries`
  std::optional<snapshot> Snapshot;
  /// Ascending by index; the last one is in force.
  std::vector<membership_at_index> MembershipHistory;

  std::optional<node_id> Leader;
  instant LeaderContactAt{};
  instant ElectionDeadline{};
  std::set<node_id> Votes;
  std::optional<incoming_snapshot> IncomingSnapshot;

  std::uint64_t TermStartIndex = 0; ///< of this leader's no-op entry
  instant NextHeartbeatAt{};
  std::map<node_id, progress> Peers; ///< other members; empty unless leading

  std::uint64_t LastSequence = 0;
  std::uint64_t SyncedSequence = 0;
  std::uint64_t HardStateSequence = 0; ///< of the latest hard state
  std::uint64_t SyncedIndex = 0;
  std::deque<unsynced_write> UnsyncedWrites;

  output Out; ///< of the current step
  instant Now{};

  [[nodiscard]] const cluster_membership &membership() const {
    return MembershipHistory.back().Membership;
  }
  [[nodiscard]] bool isVoter() const {
    return membership().isVoter(Options.NodeId, Options.DirectoryId);
  }
  /// True if this node is a voter of the current membership or of one that may
  /// still be in force. Until its removal is known to be committed, a removed
  /// voter may be the only electable one, because only its log contains the
  /// removal.
  [[nodiscard]] bool canCampaign() const;
};

/// Adds a message to the output. A leader's appends and snapshot chunks may be
/// sent before the sync of this step; all other messages wait for it. Returns
/// the message, which carries the current term. The reference is valid until
/// the next call.
message &sendMessage(raft_state &State, node_id To, message_body Body);

/// Sets term and vote and adds them to this step's writes.
void setHardState(raft_state &State, std::uint64_t Term,
                  std::optional<node_id> VotedFor);

/// Appends an entry and adds it to this step's writes. A membership takes
/// effect at once.
void appendEntry(raft_state &State, log_entry Entry);

/// Removes the entries from `Index` on, which must be uncommitted, and the
/// memberships in them.
void truncateFrom(raft_state &State, std::uint64_t Index);

/// Adds the compaction through `Index`, inclusive, to this step's writes.
void requestCompaction(raft_state &State, std::uint64_t Index);

/// Raises the commit index and adds the newly committed entries to the output.
void commitTo(raft_state &State, std::uint64_t Index);

/// Returns the greatest value that a majority of the voters reaches. `ValueOf`
/// returns the value of one voter.
template <class T, class Function>
[[nodiscard]] T majorityValue(const cluster_membership &Membership,
                              Function &&ValueOf) {
  std::vector<T> Values;
  for (const auto &Member : Membership.Voters) {
    Values.push_back(ValueOf(Member));
  }
  if (Values.empty()) {
    return T{};
  }
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Membership.majority() - 1];
}

} // namespace arbutus::consensus::impl

#endif
