#ifndef ARBUTUS_CONSENSUS_ELECTION_H
#define ARBUTUS_CONSENSUS_ELECTION_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Sets a random election deadline, between `MinElectionTimeout` and
/// `MaxElectionTimeout` from now.
void resetElectionTimer(raft_state &State);

/// Becomes a follower of `Leader`, if known, in `Term`. `Term` must not be
/// below the current term.
void becomeFollower(raft_state &State, std::uint64_t Term,
                    std::optional<node_id> Leader);

/// Asks all voters whether they would grant a vote, without raising the term,
/// so that a node returning from a partition does not depose a working leader.
void startPreVote(raft_state &State);

/// True if a leader may hold a lease that this node acknowledged: this node
/// leads, or it started or had contact with a leader less than
/// `MinElectionTimeout` ago.
[[nodiscard]] bool leaderMayHoldLease(const raft_state &State);

/// Replies to a vote request. For a real vote, the node has already adopted the
/// term.
void onVoteRequest(raft_state &State, const message &Message,
                   const vote_request &Request);

/// Counts a vote. With a majority, a pre-candidate becomes candidate and a
/// candidate becomes leader.
void onVoteReply(raft_state &State, const message &Message,
                 const vote_reply &Reply);

/// Counts a candidate's vote for itself once it is synced. Without the sync, a
/// sole voter could lead the same term twice after a crash.
void onVoteSynced(raft_state &State);

} // namespace arbutus::consensus::impl

#endif
