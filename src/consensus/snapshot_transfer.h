#ifndef ARBUTUS_CONSENSUS_SNAPSHOT_TRANSFER_H
#define ARBUTUS_CONSENSUS_SNAPSHOT_TRANSFER_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Begins to send the newest snapshot to a member that lacks dropped entries.
void startTransfer(raft_state &State, node_id Node, progress &Peer);

/// Sends the current chunk again after `ResendTimeout` without an answer.
void resendChunk(raft_state &State, node_id Node, progress &Peer);

/// Collects chunks; the last one makes the snapshot replace the log.
void onSnapshotChunk(raft_state &State, const message &Message,
                     const snapshot_chunk &Chunk);

/// Sends the next chunk, or goes on with entries after the snapshot.
void onSnapshotReply(raft_state &State, const message &Message,
                     const snapshot_reply &Reply);

/// Takes a snapshot that the caller made and drops old entries.
void onSnapshotSaved(raft_state &State, const snapshot_saved &Saved);

/// Meta data of a snapshot at `Index`; nothing unless it is committed and
/// newer than the last snapshot.
[[nodiscard]] std::optional<snapshot_meta>
snapshotMetaAt(const raft_state &State, std::uint64_t Index);

} // namespace arbutus::consensus::impl

#endif
