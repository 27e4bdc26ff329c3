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

/// What a node does in its current term.
enum class role : std::uint8_t {
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  StorageFailed, ///< its storage failed; it answers nothing
};

/// A copy of what a node knows, for metrics, logs and checks.
struct raft_status {
  node_id NodeId{};
  role Role = role::Follower;
  std::uint64_t Term = 0;
  std::optional<node_id> Leader;
  std::uint64_t FirstIndex = 0; ///< oldest entry held
  std::uint64_t LastIndex = 0;
  std::uint64_t SyncedIndex = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t SnapshotIndex = 0;
  cluster_membership Membership;
  bool IsVoter = false; ///< the voter set lists this data directory
};

namespace impl {
struct raft_state;
}

/// One member of the replicated log as a pure state machine: it neither reads
/// clocks nor does I/O. Not thread-safe; `Now` must never go back.
class raft_node {
public:
  /// Starts from what was read from the data directory. A restarted voter
  /// refuses votes for `MinElectionTimeout`, because its former life may have
  /// acknowledged a leader's lease. Committed entries after the snapshot are
  /// given out again.
  raft_node(const raft_options &Options, recovered_state Recovered,
            std::mt19937_64 Random, instant Now);
  raft_node(raft_node &&) noexcept;
  raft_node &operator=(raft_node &&) noexcept;
  ~raft_node();

  /// Takes one input at time `Now` and returns what the caller must do.
  [[nodiscard]] output step(const input &Input, instant Now);

  /// Returns the index up to which the state machine must have applied before
  /// a linearizable read that began now may be answered. Only a leader that
  /// holds its lease at `Now` gives one.
  [[nodiscard]] result<std::uint64_t, rejection> readIndex(instant Now) const;

  /// Returns the meta data for a snapshot at a committed index, or nothing if
  /// the index is not committed or already covered by a later snapshot.
  [[nodiscard]] std::optional<snapshot_meta>
  snapshotMeta(std::uint64_t Index) const;

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
