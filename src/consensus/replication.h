#ifndef ARBUTUS_CONSENSUS_REPLICATION_H
#define ARBUTUS_CONSENSUS_REPLICATION_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Starts to lead the current term with an empty entry, whose commitment also
/// commits all entries of earlier terms.
void becomeLeader(raft_state &State);

/// Makes `Members` hold exactly the other members of the voter set in force.
void updatePeers(raft_state &State);

/// Sends every member a heartbeat and what it lacks.
void sendHeartbeats(raft_state &State);

/// Sends the members the entries that they lack, as far as the limits allow.
void sendEntries(raft_state &State);

/// Commits what a majority has synced, if an entry of this term is among it.
void advanceCommit(raft_state &State);

/// True while a majority answered within `MinElectionTimeout`.
[[nodiscard]] bool quorumActive(const raft_state &State);

/// True while a majority answered what was sent less than `LeaseDuration` ago.
[[nodiscard]] bool holdsLease(const raft_state &State, instant Now);

/// Follows the sender, takes its entries and answers.
void onAppendRequest(raft_state &State, const message &Message,
                     const append_request &Request);

/// Records what a member has synced, or where its log departs.
void onAppendReply(raft_state &State, const message &Message,
                   const append_reply &Reply);

/// Finds the sender of a reply and notes that it was heard. Forgets what the
/// member had if it answers from another data directory. Returns null unless
/// this node leads and the sender is a member.
[[nodiscard]] progress *recordReply(raft_state &State, const message &Message,
                                    data_directory_id DirectoryId,
                                    std::int64_t EchoSentAtMicros);

/// Records that a member holds the entries up to `Index`, as it answered to
/// what was sent at `SentAt`, and sends it more.
void recordMatch(raft_state &State, node_id Node, progress &Peer,
                 std::uint64_t Index, instant SentAt);

} // namespace arbutus::consensus::impl

#endif
