#include "consensus/replication.h"

#include "consensus/election.h"
#include "consensus/snapshot_transfer.h"

#include <algorithm>
#include <utility>

namespace arbutus::consensus::impl {
namespace {

/// Sends an append without entries. The receiver's check of the entry before
/// `NextIndex` detects lost appends. If that entry is compacted, the message
/// only shows that the leader is alive.
void sendHeartbeat(raft_state &State, node_id Node, const progress &Peer) {
  append_request Request;
  Request.SentAtMicros = toMicros(State.Now);
  if (const auto Term = State.Log.term(Peer.NextIndex - 1)) {
    Request.PrevIndex = Peer.NextIndex - 1;
    Request.PrevTerm = *Term;
    Request.CommitIndex = State.CommitIndex;
  }
  sendMessage(State, Node, std::move(Request));
}

/// Sends one append with entries from `NextIndex` on. Returns false if there
/// are none, or if the peer needs a snapshot, whose transfer it starts.
bool sendAppend(raft_state &State, node_id Node, progress &Peer) {
  const auto PrevTerm = State.Log.term(Peer.NextIndex - 1);
  if (!PrevTerm) {
    startTransfer(State, Node, Peer);
    return false;
  }
  if (Peer.NextIndex > State.Log.lastIndex()) {
    return false;
  }
  append_request Request;
  Request.PrevIndex = Peer.NextIndex - 1;
  Request.PrevTerm = *PrevTerm;
  Request.CommitIndex = State.CommitIndex;
  Request.SentAtMicros = toMicros(State.Now);
  Request.Entries =
      State.Log.slice(Peer.NextIndex, State.Options.MaxAppendEntries,
                      State.Options.MaxAppendBytes);
  if (!Peer.Probing) {
    Peer.NextIndex += Request.Entries.size();
    ++Peer.InFlightAppends;
  }
  sendMessage(State, Node, std::move(Request));
  return true;
}

/// Payload bytes that were sent to the peer and not acknowledged.
std::uint64_t bytesInFlight(const raft_state &State, const progress &Peer) {
  const auto Base = State.Log.baseIndex();
  if (Peer.NextIndex <= Base) {
    return 0;
  }
  return State.Log.payloadBytes(std::max(Peer.MatchIndex, Base),
                                Peer.NextIndex - 1);
}

/// Sends appends until the peer has everything or an in-flight limit is
/// reached.
void sendPipelinedAppends(raft_state &State, node_id Node, progress &Peer) {
  while (!Peer.Probing && !Peer.Transfer &&
         Peer.InFlightAppends < MaxAppendsInFlight &&
         bytesInFlight(State, Peer) < MaxBytesInFlight &&
         sendAppend(State, Node, Peer)) {
  }
}

/// Returns the last index before the conflicting term, so that one rejection
/// skips a whole term of entries. Committed entries always match.
std::uint64_t conflictHint(const raft_state &State, std::uint64_t PrevIndex) {
  if (PrevIndex > State.Log.lastIndex()) {
    return State.Log.lastIndex();
  }
  const auto Conflicting = State.Log.term(PrevIndex);
  auto Index = PrevIndex;
  while (Index > State.CommitIndex && State.Log.term(Index) == Conflicting) {
    --Index;
  }
  return Index;
}

bool entriesAreContiguous(const append_request &Request) {
  auto Index = Request.PrevIndex;
  return std::all_of(
      Request.Entries.begin(), Request.Entries.end(),
      [&Index](const log_entry &Entry) { return Entry.Index == ++Index; });
}

/// Appends the entries that the log lacks. Removes the log's entries from the
/// first conflict on.
void storeNewEntries(raft_state &State, const append_request &Request) {
  for (const auto &Entry : Request.Entries) {
    if (Entry.Index <= State.CommitIndex) {
      continue;
    }
    const auto Term = State.Log.term(Entry.Index);
    if (Term == Entry.Term) {
      continue;
    }
    if (Term) {
      truncateFrom(State, Entry.Index);
    }
    appendEntry(State, Entry);
  }
}

} // namespace

void becomeLeader(raft_state &State) {
  State.Role = role::Leader;
  State.Leader = State.Options.NodeId;
  State.IncomingSnapshot.reset();
  State.Peers.clear();
  updatePeers(State);
  State.TermStartIndex = State.Log.lastIndex() + 1;
  appendEntry(
      State,
      {State.TermStartIndex, State.HardState.Term, entry_kind::NoOp, {}});
  State.NextHeartbeatAt = State.Now + State.Options.HeartbeatInterval;
  for (auto &[Node, Peer] : State.Peers) {
    sendAppend(State, Node, Peer);
  }
}

void updatePeers(raft_state &State) {
  std::map<node_id, progress> NewPeers;
  const auto AddPeer = [&State, &NewPeers](const member &Member) {
    if (Member.node() == State.Options.NodeId) {
      return;
    }
    const auto Existing = State.Peers.find(Member.node());
    if (Existing != State.Peers.end()) {
      NewPeers.insert(std::move(*Existing));
      return;
    }
    progress NewPeer;
    NewPeer.NextIndex = State.Log.lastIndex() + 1;
    NewPeer.DirectoryId = Member.directoryId();
    NewPeer.LastContactAt = State.Now;
    NewPeers.emplace(Member.node(), std::move(NewPeer));
  };
  for (const auto &Voter : State.membership().Voters) {
    AddPeer(Voter);
  }
  for (const auto &Learner : State.membership().Learners) {
    AddPeer(Learner);
  }
  State.Peers = std::move(NewPeers);
}

void sendHeartbeats(raft_state &State) {
  State.NextHeartbeatAt = State.Now + State.Options.HeartbeatInterval;
  for (auto &[Node, Peer] : State.Peers) {
    sendHeartbeat(State, Node, Peer);
    resendChunk(State, Node, Peer);
  }
}

void sendEntries(raft_state &State) {
  for (auto &[Node, Peer] : State.Peers) {
    sendPipelinedAppends(State, Node, Peer);
  }
}

void advanceCommit(raft_state &State) {
  const auto Synced = majorityValue<std::uint64_t>(
      State.membership(), [&State](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return State.SyncedIndex;
        }
        const auto &Peer = State.Peers.at(M.node());
        return Peer.DirectoryId == M.directoryId() ? Peer.MatchIndex : 0;
      });
  if (Synced > State.CommitIndex &&
      State.Log.term(Synced) == State.HardState.Term) {
    commitTo(State, Synced);
    if (!State.isVoter() &&
        State.MembershipHistory.back().Index <= State.CommitIndex) {
      // This leader's removal is committed: send the commit index, then step
      // down.
      sendHeartbeats(State);
      becomeFollower(State, State.HardState.Term, std::nullopt);
    }
  }
}

bool quorumActive(const raft_state &State) {
  const auto LastContactAt =
      majorityValue<instant>(State.membership(), [&State](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return State.Now;
        }
        const auto &Peer = State.Peers.at(M.node());
        return Peer.DirectoryId == M.directoryId() ? Peer.LastContactAt
                                                   : instant::min();
      });
  return LastContactAt != instant::min() &&
         State.Now - LastContactAt < State.Options.MinElectionTimeout;
}

bool holdsLease(const raft_state &State, instant Now) {
  const auto Never = instant::min();
  const auto SentAt =
      majorityValue<instant>(State.membership(), [&](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return Now;
        }
        const auto &Peer = State.Peers.at(M.node());
        return Peer.DirectoryId == M.directoryId()
                   ? Peer.LastAckedSendTime.value_or(Never)
                   : Never;
      });
  return SentAt != Never && Now - SentAt < State.Options.LeaseDuration;
}

void onAppendRequest(raft_state &State, const message &Message,
                     const append_request &Request) {
  becomeFollower(State, Message.Term, Message.from());
  State.LeaderContactAt = State.Now;
  resetElectionTimer(State);
  append_reply Reply;
  Reply.EchoSentAtMicros = Request.SentAtMicros;
  Reply.DirectoryId = number(State.Options.DirectoryId);
  const bool Matches = Request.PrevIndex <= State.CommitIndex ||
                       State.Log.term(Request.PrevIndex) == Request.PrevTerm;
  if (!Matches) {
    Reply.Index = conflictHint(State, Request.PrevIndex);
  } else if (entriesAreContiguous(Request)) {
    storeNewEntries(State, Request);
    const auto Last = Request.PrevIndex + Request.Entries.size();
    if (Last <= State.Log.lastIndex()) {
      commitTo(State, std::min(Request.CommitIndex, Last));
    }
    Reply.Accepted = true;
    Reply.Index = std::max(Last, State.CommitIndex);
  }
  sendMessage(State, Message.from(), Reply);
}

void onAppendReply(raft_state &State, const message &Message,
                   const append_reply &Reply) {
  auto *Peer = recordReply(State, Message, data_directory_id{Reply.DirectoryId},
                           Reply.EchoSentAtMicros);
  if (Peer == nullptr || Peer->Transfer) {
    return;
  }
  if (Reply.Accepted) {
    recordMatch(State, Message.from(), *Peer, Reply.Index,
                instantFromMicros(Reply.EchoSentAtMicros));
    return;
  }
  if (instantFromMicros(Reply.EchoSentAtMicros) < Peer->ModeChangedAt) {
    return;
  }
  const auto NextIndex =
      std::max(Peer->MatchIndex, std::min(Peer->NextIndex - 1, Reply.Index)) +
      1;
  const bool Changed = NextIndex != Peer->NextIndex || !Peer->Probing;
  Peer->NextIndex = NextIndex;
  Peer->Probing = true;
  Peer->ModeChangedAt = State.Now;
  Peer->InFlightAppends = 0;
  // A rejection that changes nothing is late or duplicated. The next heartbeat
  // probes again.
  if (Changed) {
    sendAppend(State, Message.from(), *Peer);
  }
}

progress *recordReply(raft_state &State, const message &Message,
                      data_directory_id DirectoryId,
                      std::int64_t EchoSentAtMicros) {
  const auto Found = State.Peers.find(Message.from());
  const auto SentAt = instantFromMicros(EchoSentAtMicros);
  if (State.Role != role::Leader || Found == State.Peers.end() ||
      SentAt > State.Now) {
    return nullptr;
  }
  auto &Peer = Found->second;
  if (Peer.DirectoryId != DirectoryId) {
    Peer = {};
    Peer.DirectoryId = DirectoryId;
    Peer.NextIndex = State.Log.lastIndex() + 1;
  }
  Peer.LastContactAt = State.Now;
  Peer.LastAckedSendTime =
      std::max(SentAt, Peer.LastAckedSendTime.value_or(instant::min()));
  return &Peer;
}

void recordMatch(raft_state &State, node_id Node, progress &Peer,
                 std::uint64_t Index, instant SentAt) {
  if (Index > State.Log.lastIndex()) {
    return;
  }
  Peer.MatchIndex = std::max(Peer.MatchIndex, Index);
  Peer.NextIndex = std::max(Peer.NextIndex, Peer.MatchIndex + 1);
  if (SentAt >= Peer.ModeChangedAt) {
    if (Peer.Probing) {
      Peer.Probing = false;
      Peer.ModeChangedAt = State.Now;
    }
    Peer.InFlightAppends -= Peer.InFlightAppends > 0 ? 1 : 0;
  }
  if (Peer.MatchIndex + 1 == Peer.NextIndex) {
    Peer.InFlightAppends = 0;
  }
  sendPipelinedAppends(State, Node, Peer);
  advanceCommit(State);
}

} // namespace arbutus::consensus::impl
