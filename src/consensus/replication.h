#ifndef ARBUTUS_CONSENSUS_REPLICATION_H
#define ARBUTUS_CONSENSUS_REPLICATION_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Becomes leader of the current term and appends a no-op entry, whose commit
/// also commits all entries of earlier terms.
void becomeLeader(raft_state &State);

/// Makes `Peers` hold exactly the other members of the current membership.
void updatePeers(raft_state &State);

/// Sends every peer a heartbeat and resends overdue snapshot chunks.
void sendHeartbeats(raft_state &State);

/// Sends every peer the entries that it lacks, up to the in-flight limit.
void sendEntries(raft_state &State);

/// Commits up to the highest index that a majority has synced, provided that
/// the entry there is of the current term.
void advanceCommit(raft_state &State);

/// True if a majority replied within the last `MinElectionTimeout`.
[[nodiscard]] bool quorumActive(const raft_state &State);

/// True if a majority has replied to messages sent less than `LeaseDuration`
/// before `Now`.
[[nodiscard]] bool holdsLease(const raft_state &State, instant Now);

/// Becomes a follower of the sender, stores its entries and replies.
void onAppendRequest(raft_state &State, const message &Message,
                     const append_request &Request);

/// Records how far a peer's log matches. After a rejection, probes from an
/// earlier index.
void onAppendReply(raft_state &State, const message &Message,
                   const append_reply &Reply);

/// Records contact with the sender of a reply and returns its progress. Resets
/// the progress if the reply comes from another data directory. Returns null
/// unless this node leads, the sender is a peer and the echoed send time is not
/// in the future.
[[nodiscard]] progress *recordReply(raft_state &State, const message &Message,
                                    data_directory_id DirectoryId,
                                    std::int64_t EchoSentAtMicros);

/// Records that a peer has synced the entries up to `Index`, in reply to a
/// message sent at `SentAt`. Then sends it more entries and advances the commit
/// index.
void recordMatch(raft_state &State, node_id Node, progress &Peer,
                 std::uint64_t Index, instant SentAt);

} // namespace arbutus::consensus::impl

#endif
