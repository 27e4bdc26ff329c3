#ifndef ARBUTUS_CONSENSUS_RAFT_NODE_H
#define ARBUTUS_CONSENSUS_RAFT_NODE_H

#include "base/clock.h"
#include "base/name_table.h"
#include "base/result.h"
#include "consensus/input.h"
#include "consensus/options.h"
#include "consensus/output.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>

namespace arbutus::consensus {

/// Role of a node in its current term.
enum class role : std::uint8_t {
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  StorageFailed, ///< storage failed; sends nothing, rejects all requests
};

/// Copy of a node's state for metrics, logs and checks.
struct raft_status {
  node_id NodeId{};
  role Role = role::Follower;
  std::uint64_t Term = 0;
  std::optional<node_id> Leader;
  std::uint64_t FirstIndex = 0; ///< oldest entry in the log
  std::uint64_t LastIndex = 0;
  std::uint64_t SyncedIndex = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  cluster_membership Membership;
  bool IsVoter =
      false; ///< the membership has this node and directory as a voter
};

namespace impl {
struct raft_state;
}

/// One member of a Raft group as a deterministic state machine: it reads no
/// clock and does no I/O. Not thread-safe. `Now` must never decrease.
class raft_node {
public:
  /// Starts from the state read from the data directory. A restarted voter
  /// denies votes for `MinElectionTimeout`, because it may have acknowledged a
  /// leader's lease before the restart. Committed entries after the snapshot
  /// are returned again.
  raft_node(const raft_options &Options, recovered_state Recovered,
            std::mt19937_64 Random, instant Now);
  raft_node(raft_node &&) noexcept;
  raft_node &operator=(raft_node &&) noexcept;
  ~raft_node();

  /// Processes one input at time `Now` and returns what the caller must do.
  [[nodiscard]] output step(const input &Input, instant Now);

  /// Returns the index that the state machine must have applied before it may
  /// serve a linearizable read that began at `Now`. Fails unless this node
  /// leads, has committed an entry of its term and holds the lease at `Now`.
  [[nodiscard]] result<std::uint64_t, rejection> readIndex(instant Now) const;

  /// Returns the metadata for a snapshot at `Index`, or nothing if the index is
  /// not committed or the latest snapshot already covers it.
  [[nodiscard]] std::optional<snapshot_meta>
  snapshotMeta(std::uint64_t Index) const;

  /// The newest snapshot that was recovered, saved or received.
  [[nodiscard]] const std::optional<snapshot> &latestSnapshot() const noexcept;

  /// Payload bytes of the entries that are not committed yet.
  [[nodiscard]] std::uint64_t uncommittedBytes() const;

  [[nodiscard]] raft_status status() const;

private:
  std::unique_ptr<impl::raft_state> State;
};

} // namespace arbutus::consensus

template <> struct arbutus::name_table<arbutus::consensus::role> {
  using role = arbutus::consensus::role;
  static constexpr name_row<role> Rows[] = {
      {role::Follower, "follower"},    {role::PreCandidate, "pre_candidate"},
      {role::Candidate, "candidate"},  {role::Leader, "leader"},
      {role::StorageFailed, "failed"},
  };
};

#endif
