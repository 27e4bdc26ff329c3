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

/// A snapshot on its way to a member, one unanswered chunk at a time.
struct snapshot_transfer {
  snapshot Source;
  std::uint64_t Offset = 0;
  instant SentAt{};
};

/// What a leader knows about another member.
struct progress {
  std::uint64_t MatchIndex = 0; ///< synced there and equal to the leader's log
  std::uint64_t NextIndex = 1;  ///< first entry not sent yet
  data_directory_id
      DirectoryId{};   ///< data directory that `MatchIndex` refers to
  bool Probing = true; ///< where the logs match is not known yet
  std::size_t InFlightAppends = 0;
  /// When probing or sending ahead began. Answers to what was sent before do
  /// not change the mode; otherwise reordered messages cause a storm in which
  /// every refusal sends all entries again.
  instant ModeChangedAt{};
  instant LastContactAt{};
  std::optional<instant>
      LastAckedSendTime; ///< send time of the newest answered one
  std::optional<snapshot_transfer> Transfer;
};

/// A snapshot of which not all chunks have arrived.
struct incoming_snapshot {
  node_id From{};
  std::uint64_t Term = 0;
  snapshot_meta Meta;
  std::uint64_t TotalBytes = 0;
  std::string Bytes;
};

/// The voter set that is in force from an index on.
struct membership_at_index {
  std::uint64_t Index = 0;
  cluster_membership Membership;
};

/// Writes that were given out and may not be synced yet.
struct unsynced_write {
  std::uint64_t Sequence = 0;
  std::uint64_t LastIndex = 0;
};

/// Everything a node knows. The functions of election.h, replication.h,
/// snapshot_transfer.h and membership.h work on it.
struct raft_state {
  raft_options Options;
  std::mt19937_64 Random;
  role Role = role::Follower;
  hard_state HardState;
  raft_log Log;
  std::uint64_t CommitIndex = 0; ///< also the last index given out for applying
  std::optional<snapshot> Snapshot;
  std::vector<membership_at_index>
      MembershipHistory; ///< ascending; the last is in force

  std::optional<node_id> Leader;
  instant LeaderContactAt{};
  instant ElectionDeadline{};
  std::set<node_id> Votes;
  std::optional<incoming_snapshot> IncomingSnapshot;

  std::uint64_t TermStartIndex = 0; ///< index of this leader's empty entry
  instant NextHeartbeatAt{};
  std::map<node_id, progress> Peers; ///< all but this node; leader only

  std::uint64_t LastSequence = 0;
  std::uint64_t SyncedSequence = 0;
  std::uint64_t HardStateSequence = 0; ///< sequence of the latest hard state
  std::uint64_t SyncedIndex = 0;
  std::deque<unsynced_write> UnsyncedWrites;

  output Out; ///< of the step that is being taken
  instant Now{};

  [[nodiscard]] const cluster_membership &membership() const {
    return MembershipHistory.back().Membership;
  }
  [[nodiscard]] bool isVoter() const {
    return membership().isVoter(Options.NodeId, Options.DirectoryId);
  }
  /// True for a voter of the set in force or of one that may still be: until
  /// its removal is known to be committed, a removed voter may be the only one
  /// that holds the removal and can be elected.
  [[nodiscard]] bool canCampaign() const;
};

/// Adds a message to the output. A leader's appends and chunks may leave
/// before the sync of this step; everything else waits for it. Returns the
/// message, which carries the current term, until the next one is added.
message &sendMessage(raft_state &State, node_id To, message_body Body);

/// Sets term and vote and has them written.
void setHardState(raft_state &State, std::uint64_t Term,
                  std::optional<node_id> VotedFor);

/// Appends an entry and has it written; a voter set takes force at once.
void appendEntry(raft_state &State, log_entry Entry);

/// Removes uncommitted entries and the voter sets in them.
void truncateFrom(raft_state &State, std::uint64_t Index);

/// Has the entries up to and including `Index` dropped from the disk.
void requestCompaction(raft_state &State, std::uint64_t Index);

/// Raises the commit index and gives the entries out for applying.
void commitTo(raft_state &State, std::uint64_t Index);

/// Returns the greatest value that a majority of the current voters reaches.
/// `ValueOf` gives the value of one member.
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
