#include "consensus/raft_state.h"

#include <algorithm>
#include <utility>

namespace arbutus::consensus::impl {
namespace {

/// Assigns a sequence number to this step's writes unless they have one.
std::uint64_t ensureWriteSequence(raft_state &State) {
  auto &Writes = State.Out.Writes;
  if (Writes.Sequence == 0) {
    Writes.Sequence = ++State.LastSequence;
    State.UnsyncedWrites.push_back({Writes.Sequence, State.Log.lastIndex()});
  }
  return Writes.Sequence;
}

} // namespace

bool raft_state::canCampaign() const {
  for (auto Entry = MembershipHistory.rbegin();
       Entry != MembershipHistory.rend(); ++Entry) {
    if (Entry->Membership.isVoter(Options.NodeId, Options.DirectoryId)) {
      return true;
    }
    if (Entry->Index <= CommitIndex) {
      return false;
    }
  }
  return false;
}

message &sendMessage(raft_state &State, node_id To, message_body Body) {
  const bool FromLeader = std::holds_alternative<append_request>(Body) ||
                          std::holds_alternative<snapshot_chunk>(Body);
  message Message{number(State.Options.NodeId), number(To),
                  State.HardState.Term, std::move(Body)};
  auto &Queue =
      FromLeader ? State.Out.MessagesBeforeSync : State.Out.MessagesAfterSync;
  return Queue.emplace_back(std::move(Message));
}

void setHardState(raft_state &State, std::uint64_t Term,
                  std::optional<node_id> VotedFor) {
  State.HardState = {Term, VotedFor};
  State.HardStateSequence = ensureWriteSequence(State);
  State.Out.Writes.HardState = State.HardState;
}

void appendEntry(raft_state &State, log_entry Entry) {
  ensureWriteSequence(State);
  if (Entry.Kind == entry_kind::Membership) {
    if (auto Membership = decode<cluster_membership>(Entry.Payload)) {
      State.MembershipHistory.push_back(
          {Entry.Index, std::move(Membership.value())});
    }
  }
  State.Out.Writes.EntriesToAppend.push_back(Entry);
  State.Log.append(std::move(Entry));
  State.UnsyncedWrites.back().LastIndex = State.Log.lastIndex();
}

void truncateFrom(raft_state &State, std::uint64_t Index) {
  ensureWriteSequence(State);
  State.Out.Writes.TruncateFrom = Index;
  State.Log.truncateFrom(Index);
  while (State.MembershipHistory.size() > 1 &&
         State.MembershipHistory.back().Index >= Index) {
    State.MembershipHistory.pop_back();
  }
  State.SyncedIndex = std::min(State.SyncedIndex, Index - 1);
  for (auto &Write : State.UnsyncedWrites) {
    Write.LastIndex = std::min(Write.LastIndex, Index - 1);
  }
}

void requestCompaction(raft_state &State, std::uint64_t Index) {
  ensureWriteSequence(State);
  State.Out.Writes.CompactThrough = Index;
}

void commitTo(raft_state &State, std::uint64_t Index) {
  while (State.CommitIndex < Index) {
    ++State.CommitIndex;
    State.Out.CommittedEntries.push_back(State.Log.at(State.CommitIndex));
  }
}

} // namespace arbutus::consensus::impl
