#ifndef ARBUTUS_CONSENSUS_SNAPSHOT_TRANSFER_H
#define ARBUTUS_CONSENSUS_SNAPSHOT_TRANSFER_H

#include "consensus/raft_state.h"

namespace arbutus::consensus::impl {

/// Starts sending the latest snapshot to a peer that needs compacted entries.
void startTransfer(raft_state &State, node_id Node, progress &Peer);

/// Resends the current chunk if `ResendTimeout` has passed without a reply.
void resendChunk(raft_state &State, node_id Node, progress &Peer);

/// Collects chunks. The last one installs the snapshot in place of the log.
void onSnapshotChunk(raft_state &State, const message &Message,
                     const snapshot_chunk &Chunk);

/// Sends the next chunk, or resumes with the entries after an installed
/// snapshot.
void onSnapshotReply(raft_state &State, const message &Message,
                     const snapshot_reply &Reply);

/// Records a snapshot that the caller saved and compacts the log.
void onSnapshotSaved(raft_state &State, const snapshot_saved &Saved);

/// Returns the metadata of a snapshot at `Index`, or nothing unless the index
/// is committed and after the latest snapshot.
[[nodiscard]] std::optional<snapshot_meta>
snapshotMetaAt(const raft_state &State, std::uint64_t Index);

} // namespace arbutus::consensus::impl

#endif
