#include "consensus/snapshot_transfer.h"

#include "consensus/election.h"
#include "consensus/replication.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace arbutus::consensus::impl {
namespace {

void sendChunk(raft_state &State, node_id Node, snapshot_transfer &Transfer) {
  Transfer.SentAt = State.Now;
  const auto &Source = Transfer.Source;
  sendMessage(State, Node,
              snapshot_chunk{Source.Meta, Transfer.Offset, Source.Data->size(),
                             toMicros(State.Now),
                             Source.Data->substr(Transfer.Offset,
                                                 State.Options.MaxChunkBytes)});
}

bool sameTransfer(const incoming_snapshot &Incoming, const message &Message,
                  const snapshot_chunk &Chunk) {
  return Incoming.From == Message.from() && Incoming.Term == Message.Term &&
         Incoming.Meta == Chunk.Meta && Incoming.TotalBytes == Chunk.TotalBytes;
}

/// Replaces the log and the state machine with a received snapshot.
void installSnapshot(raft_state &State, incoming_snapshot Incoming) {
  const auto &Meta = Incoming.Meta;
  // `onSnapshotChunk` keeps a log that contains the snapshot's last entry. Any
  // other log has no acknowledged entries after the snapshot and can be
  // removed.
  truncateFrom(State, State.CommitIndex + 1);
  State.Out.Writes.TruncateFrom.reset();
  State.Out.Writes.EntriesToAppend.clear();
  State.Log.reset(Meta.Index, Meta.Term);
  State.MembershipHistory = {{Meta.Index, Meta.Membership}};
  State.CommitIndex = Meta.Index;
  State.UnsyncedWrites.back().LastIndex = Meta.Index;
  State.Snapshot = snapshot{
      Meta, std::make_shared<const std::string>(std::move(Incoming.Bytes))};
  State.Out.CommittedEntries.clear();
  State.Out.SnapshotToRestore = State.Snapshot;
  State.Out.Writes.Snapshot = State.Snapshot;
  State.Out.Writes.ResetLog = true;
}

/// Returns the last index that is removed from the log after a snapshot at
/// `SnapshotIndex`. The entries kept below the snapshot are bounded in number
/// and in bytes.
std::uint64_t compactionIndex(const raft_state &State,
                              std::uint64_t SnapshotIndex) {
  const auto &Log = State.Log;
  const auto Covered = SnapshotIndex - Log.baseIndex();
  auto Through =
      SnapshotIndex - std::min(Covered, State.Options.TrailingEntries);
  while (Log.payloadBytes(Through, SnapshotIndex) >
         State.Options.TrailingBytes) {
    ++Through;
  }
  return Through;
}

/// Appends the chunk to the incoming snapshot. Returns the offset of the next
/// missing byte.
std::uint64_t appendChunk(raft_state &State, const message &Message,
                          const snapshot_chunk &Chunk) {
  auto &Incoming = State.IncomingSnapshot;
  if (!Incoming || !sameTransfer(*Incoming, Message, Chunk)) {
    Incoming = incoming_snapshot{
        Message.from(), Message.Term, Chunk.Meta, Chunk.TotalBytes, {}};
  }
  if (Chunk.Offset == Incoming->Bytes.size() &&
      Chunk.Bytes.size() <= Chunk.TotalBytes - Chunk.Offset) {
    Incoming->Bytes += Chunk.Bytes;
  }
  return Incoming->Bytes.size();
}

} // namespace

void startTransfer(raft_state &State, node_id Node, progress &Peer) {
  if (!State.Snapshot) {
    return;
  }
  Peer.Transfer = snapshot_transfer{*State.Snapshot, 0, State.Now};
  sendChunk(State, Node, *Peer.Transfer);
}

void resendChunk(raft_state &State, node_id Node, progress &Peer) {
  if (Peer.Transfer &&
      State.Now - Peer.Transfer->SentAt >= State.Options.ResendTimeout) {
    sendChunk(State, Node, *Peer.Transfer);
  }
}

void onSnapshotChunk(raft_state &State, const message &Message,
                     const snapshot_chunk &Chunk) {
  becomeFollower(State, Message.Term, Message.from());
  State.LeaderContactAt = State.Now;
  resetElectionTimer(State);
  snapshot_reply Reply;
  Reply.Index = Chunk.Meta.Index;
  Reply.EchoSentAtMicros = Chunk.SentAtMicros;
  Reply.DirectoryId = number(State.Options.DirectoryId);
  if (Chunk.Meta.Index > State.CommitIndex &&
      State.Log.term(Chunk.Meta.Index) == Chunk.Meta.Term) {
    // The log already contains everything that the snapshot covers. Keep it,
    // because later entries may be acknowledged already.
    commitTo(State, Chunk.Meta.Index);
  }
  if (Chunk.Meta.Index > State.CommitIndex) {
    Reply.NextOffset = appendChunk(State, Message, Chunk);
    if (Reply.NextOffset == Chunk.TotalBytes) {
      installSnapshot(State,
                      *std::exchange(State.IncomingSnapshot, std::nullopt));
    }
  }
  if (Chunk.Meta.Index <= State.CommitIndex) {
    State.IncomingSnapshot.reset();
    Reply.Installed = true;
  }
  sendMessage(State, Message.from(), Reply);
}

void onSnapshotReply(raft_state &State, const message &Message,
                     const snapshot_reply &Reply) {
  auto *Peer = recordReply(State, Message, data_directory_id{Reply.DirectoryId},
                           Reply.EchoSentAtMicros);
  if (Peer == nullptr) {
    return;
  }
  if (Reply.Installed) {
    if (Peer->Transfer && Peer->Transfer->Source.Meta.Index <= Reply.Index) {
      Peer->Transfer.reset();
      Peer->NextIndex = std::max(Peer->MatchIndex, Reply.Index) + 1;
      Peer->InFlightAppends = 0;
    }
    recordMatch(State, Message.from(), *Peer, Reply.Index,
                instantFromMicros(Reply.EchoSentAtMicros));
    return;
  }
  auto &Transfer = Peer->Transfer;
  if (Transfer && Transfer->Source.Meta.Index == Reply.Index &&
      Reply.NextOffset <= Transfer->Source.Data->size() &&
      Reply.NextOffset != Transfer->Offset) {
    Transfer->Offset = Reply.NextOffset;
    sendChunk(State, Message.from(), *Transfer);
  }
}

void onSnapshotSaved(raft_state &State, const snapshot_saved &Saved) {
  auto Meta = snapshotMetaAt(State, Saved.Index);
  if (!Meta || !Saved.Data) {
    return;
  }
  State.Snapshot = snapshot{std::move(*Meta), Saved.Data};
  auto &History = State.MembershipHistory;
  while (History.size() > 1 && History[1].Index <= Saved.Index) {
    History.erase(History.begin());
  }
  const auto Through = compactionIndex(State, Saved.Index);
  if (Through > State.Log.baseIndex()) {
    State.Log.compactThrough(Through);
    requestCompaction(State, Through);
  }
}

std::optional<snapshot_meta> snapshotMetaAt(const raft_state &State,
                                            std::uint64_t Index) {
  const auto SnapshotIndex = State.Snapshot ? State.Snapshot->Meta.Index : 0;
  if (Index <= SnapshotIndex || Index > State.CommitIndex) {
    return std::nullopt;
  }
  snapshot_meta Meta{Index, State.Log.term(Index).value_or(0), {}};
  for (const auto &Entry : State.MembershipHistory) {
    if (Entry.Index <= Index) {
      Meta.Membership = Entry.Membership;
    }
  }
  return Meta;
}

} // namespace arbutus::consensus::impl
