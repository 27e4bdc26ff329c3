#ifndef ARBUTUS_CONSENSUS_ELECTION_H
#define ARBUTUS_CONSENSUS_ELECTION_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Draws the next time at which this node tries to become leader.
void resetElectionTimer(raft_state &State);

/// Follows `Leader`, if known, in `Term`, which is at least the current one.
void becomeFollower(raft_state &State, std::uint64_t Term,
                    std::optional<node_id> Leader);

/// Asks all voters whether they would vote, without raising the term, so that
/// a node that was cut off does not depose a working leader on its return.
void startPreVote(raft_state &State);

/// True while a leader may hold a lease that this node has acknowledged: it
/// heard from a leader, or started, less than `MinElectionTimeout` ago.
[[nodiscard]] bool leaderMayHoldLease(const raft_state &State);

/// Answers a request for a vote. The term of a real vote is already adopted.
void onVoteRequest(raft_state &State, const message &Message,
                   const vote_request &Request);

/// Counts a vote; with a majority the node goes on to the real vote or leads.
void onVoteReply(raft_state &State, const message &Message,
                 const vote_reply &Reply);

/// Counts the own vote of a candidate once it is synced. A sole voter that led
/// before could lead the same term twice after a crash.
void onVoteSynced(raft_state &State);

} // namespace arbutus::consensus::impl

#endif
