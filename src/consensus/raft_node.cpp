#include "consensus/raft_node.h"

#include "consensus/election.h"
#include "consensus/membership.h"
#include "consensus/raft_state.h"
#include "consensus/replication.h"
#include "consensus/snapshot_transfer.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace arbutus::consensus {
namespace impl {
namespace {

rejection makeRejection(const raft_state &State, rejection_reason Reason) {
  return {Reason, State.Leader};
}

/// Rebuilds the membership history from the snapshot and the entries after it.
void restoreMembershipHistory(raft_state &State,
                              const recovered_state &Recovered) {
  std::uint64_t SnapshotIndex = 0;
  State.MembershipHistory.push_back({0, {}});
  if (Recovered.Snapshot) {
    SnapshotIndex = Recovered.Snapshot->Meta.Index;
    State.MembershipHistory.back() = {SnapshotIndex,
                                      Recovered.Snapshot->Meta.Membership};
  }
  for (const auto &Entry : Recovered.Entries) {
    if (Entry.Kind == entry_kind::Membership && Entry.Index > SnapshotIndex) {
      if (auto Membership = decode<cluster_membership>(Entry.Payload)) {
        State.MembershipHistory.push_back(
            {Entry.Index, std::move(Membership.value())});
      }
    }
  }
}

void handle(raft_state &State, const tick & /*Tick*/) {
  if (State.Role == role::Leader) {
    if (State.Now >= State.NextHeartbeatAt) {
      sendHeartbeats(State);
    }
  } else if (State.Now >= State.ElectionDeadline) {
    startPreVote(State);
  }
}

/// Replies to a request of an earlier term, so that its sender learns the
/// current one. Replies of an earlier term are dropped.
void rejectStaleTerm(raft_state &State, const message &Message) {
  const auto DirectoryId = number(State.Options.DirectoryId);
  if (const auto *Request = std::get_if<vote_request>(&Message.Body)) {
    sendMessage(State, Message.from(),
                vote_reply{Request->PreVote, false, DirectoryId});
  } else if (std::holds_alternative<append_request>(Message.Body) ||
             std::holds_alternative<snapshot_chunk>(Message.Body)) {
    sendMessage(State, Message.from(), append_reply{false, 0, 0, DirectoryId});
  }
}

void dispatch(raft_state &State, const message &Message) {
  std::visit(
      [&State, &Message](const auto &Body) {
        using body = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<body, vote_request>) {
          onVoteRequest(State, Message, Body);
        } else if constexpr (std::is_same_v<body, vote_reply>) {
          onVoteReply(State, Message, Body);
        } else if constexpr (std::is_same_v<body, append_request>) {
          onAppendRequest(State, Message, Body);
        } else if constexpr (std::is_same_v<body, append_reply>) {
          onAppendReply(State, Message, Body);
        } else if constexpr (std::is_same_v<body, snapshot_chunk>) {
          onSnapshotChunk(State, Message, Body);
        } else {
          onSnapshotReply(State, Message, Body);
        }
      },
      Message.Body);
}

void handle(raft_state &State, const peer_message &Input) {
  const auto &Message = Input.Message;
  if (Message.to() != State.Options.NodeId ||
      Message.from() == State.Options.NodeId) {
    return;
  }
  const auto *Request = std::get_if<vote_request>(&Message.Body);
  const auto *Reply = std::get_if<vote_reply>(&Message.Body);
  // Pre-vote requests and granted pre-vote replies carry the proposed term,
  // which no node has adopted yet.
  const bool PreVote = (Request != nullptr && Request->PreVote) ||
                       (Reply != nullptr && Reply->PreVote && Reply->Granted);
  if (!PreVote && Message.Term > State.HardState.Term) {
    if (Request != nullptr && leaderMayHoldLease(State)) {
      // A vote now could elect a second leader while the current one still
      // serves reads under its lease.
      return;
    }
    becomeFollower(State, Message.Term, std::nullopt);
  }
  if (Message.Term < State.HardState.Term) {
    rejectStaleTerm(State, Message);
    return;
  }
  dispatch(State, Message);
}

void handle(raft_state &State, const proposal_batch &Batch) {
  if (State.Role != role::Leader) {
    State.Out.Rejection = makeRejection(State, rejection_reason::NotLeader);
    return;
  }
  if (Batch.Payloads.empty()) {
    return;
  }
  const auto First = State.Log.lastIndex() + 1;
  for (const auto &Payload : Batch.Payloads) {
    appendEntry(State, {State.Log.lastIndex() + 1, State.HardState.Term,
                        entry_kind::Proposal, Payload});
  }
  State.Out.AcceptedRange =
      accepted_range{First, State.Log.lastIndex(), State.HardState.Term};
  sendEntries(State);
}

void handle(raft_state &State, const membership_change &Change) {
  const auto Reject = [&State](rejection_reason Reason) {
    State.Out.Rejection = makeRejection(State, Reason);
  };
  if (State.Role != role::Leader) {
    return Reject(rejection_reason::NotLeader);
  }
  // Until an entry of its own term is committed, the leader does not know
  // whether an earlier leader's change is committed. Two uncommitted changes
  // could differ by two voters, so that their majorities need not overlap.
  if (State.CommitIndex < State.TermStartIndex) {
    return Reject(rejection_reason::NoCommitInTerm);
  }
  if (changeInProgress(State)) {
    return Reject(rejection_reason::ChangeInProgress);
  }
  const auto Membership = applyChange(State, Change);
  if (!Membership) {
    return Reject(Membership.error());
  }
  const auto Index = State.Log.lastIndex() + 1;
  appendEntry(State, {Index, State.HardState.Term, entry_kind::Membership,
                      encode(Membership.value())});
  updatePeers(State);
  State.Out.AcceptedRange = accepted_range{Index, Index, State.HardState.Term};
  sendEntries(State);
}

void handle(raft_state &State, const snapshot_saved &Saved) {
  onSnapshotSaved(State, Saved);
}

void handle(raft_state &State, const writes_synced &Synced) {
  while (!State.UnsyncedWrites.empty() &&
         State.UnsyncedWrites.front().Sequence <= Synced.Sequence) {
    State.SyncedSequence = State.UnsyncedWrites.front().Sequence;
    State.SyncedIndex =
        std::max(State.SyncedIndex, State.UnsyncedWrites.front().LastIndex);
    State.UnsyncedWrites.pop_front();
  }
  onVoteSynced(State);
  if (State.Role == role::Leader) {
    advanceCommit(State);
  }
}

void handle(raft_state &State, const storage_failed & /*Failed*/) {
  State.Role = role::StorageFailed;
  State.Leader.reset();
  State.Peers.clear();
}

} // namespace
} // namespace impl

using namespace impl;

raft_node::raft_node(const raft_options &Options, recovered_state Recovered,
                     std::mt19937_64 Random, instant Now)
    : State(std::make_unique<raft_state>()) {
  State->Options = Options;
  State->Random = Random;
  State->HardState = Recovered.HardState;
  restoreMembershipHistory(*State, Recovered);
  State->Log = raft_log(Recovered.Snapshot, std::move(Recovered.Entries));
  State->Snapshot = std::move(Recovered.Snapshot);
  State->CommitIndex = State->Snapshot ? State->Snapshot->Meta.Index : 0;
  State->SyncedIndex = State->Log.lastIndex();
  State->Now = Now;
  State->LeaderContactAt = Now;
  resetElectionTimer(*State);
}

raft_node::raft_node(raft_node &&) noexcept = default;
raft_node &raft_node::operator=(raft_node &&) noexcept = default;
raft_node::~raft_node() = default;

output raft_node::step(const input &Input, instant Now) {
  State->Out = {};
  State->Now = Now;
  if (State->Role == role::StorageFailed) {
    if (std::holds_alternative<proposal_batch>(Input) ||
        std::holds_alternative<membership_change>(Input)) {
      State->Out.Rejection =
          makeRejection(*State, rejection_reason::StorageFailed);
    }
    return std::move(State->Out);
  }
  if (State->Role == role::Leader && !quorumActive(*State)) {
    becomeFollower(*State, State->HardState.Term, std::nullopt);
  }
  std::visit([this](const auto &Kind) { handle(*State, Kind); }, Input);
  return std::move(State->Out);
}

result<std::uint64_t, rejection> raft_node::readIndex(instant Now) const {
  if (State->Role == role::StorageFailed) {
    return makeRejection(*State, rejection_reason::StorageFailed);
  }
  if (State->Role != role::Leader) {
    return makeRejection(*State, rejection_reason::NotLeader);
  }
  if (State->CommitIndex < State->TermStartIndex) {
    return makeRejection(*State, rejection_reason::NoCommitInTerm);
  }
  if (!holdsLease(*State, Now)) {
    return makeRejection(*State, rejection_reason::LeaseExpired);
  }
  return State->CommitIndex;
}

std::optional<snapshot_meta>
raft_node::snapshotMeta(std::uint64_t Index) const {
  return snapshotMetaAt(*State, Index);
}

const std::optional<snapshot> &raft_node::latestSnapshot() const noexcept {
  return State->Snapshot;
}

std::uint64_t raft_node::uncommittedBytes() const {
  return State->Log.payloadBytes(State->CommitIndex, State->Log.lastIndex());
}

raft_status raft_node::status() const {
  raft_status Status;
  Status.NodeId = State->Options.NodeId;
  Status.Role = State->Role;
  Status.Term = State->HardState.Term;
  Status.Leader = State->Leader;
  Status.FirstIndex = State->Log.baseIndex() + 1;
  Status.LastIndex = State->Log.lastIndex();
  Status.SyncedIndex = State->SyncedIndex;
  Status.CommitIndex = State->CommitIndex;
  Status.SnapshotIndex = State->Snapshot ? State->Snapshot->Meta.Index : 0;
  Status.Membership = State->membership();
  Status.IsVoter = State->isVoter();
  return Status;
}

} // namespace arbutus::consensus
