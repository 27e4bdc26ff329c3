#include "consensus/replication.h"

#include "consensus/election.h"
#include "consensus/snapshot_transfer.h"

#include <algorithm>
#include <utility>

namespace arbutus::consensus::impl {
namespace {

/// Sends a heartbeat without entries. Its check of the entry before `Next`
/// finds appends that were lost. A member that gets a snapshot is only told
/// that the leader lives.
void sendHeartbeat(raft_state &State, node_id Node, const progress &Member) {
  append_request Request;
  Request.SentAt = toMicros(State.Now);
  if (const auto Term = State.Log.term(Member.Next - 1)) {
    Request.PrevIndex = Member.Next - 1;
    Request.PrevTerm = *Term;
    Request.CommitIndex = State.CommitIndex;
  }
  sendMessage(State, Node, std::move(Request));
}

/// Sends one append with entries from `Next` on. Returns false if there are
/// none, or if the member needs a snapshot.
bool sendAppend(raft_state &State, node_id Node, progress &Member) {
  const auto PrevTerm = State.Log.term(Member.Next - 1);
  if (!PrevTerm) {
    startTransfer(State, Node, Member);
    return false;
  }
  if (Member.Next > State.Log.lastIndex()) {
    return false;
  }
  append_request Request;
  Request.PrevIndex = Member.Next - 1;
  Request.PrevTerm = *PrevTerm;
  Request.CommitIndex = State.CommitIndex;
  Request.SentAt = toMicros(State.Now);
  Request.Entries = State.Log.slice(Member.Next, State.Options.AppendEntries,
                                    State.Options.AppendBytes);
  if (!Member.Probing) {
    Member.Next += Request.Entries.size();
    ++Member.InFlight;
  }
  sendMessage(State, Node, std::move(Request));
  return true;
}

/// Sends appends until the member has everything or enough is unanswered.
void sendPipelined(raft_state &State, node_id Node, progress &Member) {
  while (!Member.Probing && !Member.Transfer &&
         Member.InFlight < MaxAppendsInFlight &&
         sendAppend(State, Node, Member)) {
  }
}

/// Last index before the conflicting term, so that one refusal skips a whole
/// term of entries. Committed entries always match.
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

bool consecutive(const append_request &Request) {
  auto Index = Request.PrevIndex;
  return std::all_of(
      Request.Entries.begin(), Request.Entries.end(),
      [&Index](const log_entry &Entry) { return Entry.Index == ++Index; });
}

/// Takes the entries that are not in the log yet and removes those that differ.
void takeEntries(raft_state &State, const append_request &Request) {
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
  State.Incoming.reset();
  State.Members.clear();
  trackMembers(State);
  State.TermStart = State.Log.lastIndex() + 1;
  appendEntry(State,
              {State.TermStart, State.HardState.Term, entry_kind::Empty, {}});
  State.HeartbeatAt = State.Now + State.Options.Heartbeat;
  for (auto &[Node, Member] : State.Members) {
    sendAppend(State, Node, Member);
  }
}

void trackMembers(raft_state &State) {
  std::map<node_id, progress> Kept;
  const auto Keep = [&State, &Kept](const member &Member) {
    if (Member.node() == State.Options.NodeId) {
      return;
    }
    const auto Known = State.Members.find(Member.node());
    if (Known != State.Members.end()) {
      Kept.insert(std::move(*Known));
      return;
    }
    progress Fresh;
    Fresh.Next = State.Log.lastIndex() + 1;
    Fresh.Disk = Member.directoryId();
    Fresh.HeardAt = State.Now;
    Kept.emplace(Member.node(), std::move(Fresh));
  };
  for (const auto &Voter : State.voters().Voters) {
    Keep(Voter);
  }
  for (const auto &Learner : State.voters().Learners) {
    Keep(Learner);
  }
  State.Members = std::move(Kept);
}

void sendHeartbeats(raft_state &State) {
  State.HeartbeatAt = State.Now + State.Options.Heartbeat;
  for (auto &[Node, Member] : State.Members) {
    sendHeartbeat(State, Node, Member);
    resendChunk(State, Node, Member);
  }
}

void sendEntries(raft_state &State) {
  for (auto &[Node, Member] : State.Members) {
    sendPipelined(State, Node, Member);
  }
}

void advanceCommit(raft_state &State) {
  const auto Synced =
      majorityValue<std::uint64_t>(State.voters(), [&State](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return State.SyncedIndex;
        }
        const auto &Member = State.Members.at(M.node());
        return Member.Disk == M.directoryId() ? Member.Match : 0;
      });
  if (Synced > State.CommitIndex &&
      State.Log.term(Synced) == State.HardState.Term) {
    commitTo(State, Synced);
    if (!State.mayVote() &&
        State.VoterHistory.back().Index <= State.CommitIndex) {
      // The removal of this leader is committed; tell the others and stop.
      sendHeartbeats(State);
      becomeFollower(State, State.HardState.Term, std::nullopt);
    }
  }
}

bool quorumHeard(const raft_state &State) {
  const auto HeardAt =
      majorityValue<instant>(State.voters(), [&State](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return State.Now;
        }
        const auto &Member = State.Members.at(M.node());
        return Member.Disk == M.directoryId() ? Member.HeardAt : instant::min();
      });
  return HeardAt != instant::min() &&
         State.Now - HeardAt < State.Options.ElectionMin;
}

bool holdsLease(const raft_state &State, instant Now) {
  const auto Never = instant::min();
  const auto SentAt =
      majorityValue<instant>(State.voters(), [&](const member &M) {
        if (M.node() == State.Options.NodeId) {
          return Now;
        }
        const auto &Member = State.Members.at(M.node());
        return Member.Disk == M.directoryId()
                   ? Member.AckedSentAt.value_or(Never)
                   : Never;
      });
  return SentAt != Never && Now - SentAt < State.Options.Lease;
}

void onAppendRequest(raft_state &State, const message &Message,
                     const append_request &Request) {
  becomeFollower(State, Message.Term, Message.from());
  State.LeaderHeardAt = State.Now;
  resetElectionTimer(State);
  append_reply Reply;
  Reply.EchoSentAt = Request.SentAt;
  Reply.Disk = number(State.Options.DirectoryId);
  const bool Matches = Request.PrevIndex <= State.CommitIndex ||
                       State.Log.term(Request.PrevIndex) == Request.PrevTerm;
  if (!Matches) {
    Reply.Index = conflictHint(State, Request.PrevIndex);
  } else if (consecutive(Request)) {
    takeEntries(State, Request);
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
  auto *Member = heardMember(State, Message, data_directory_id{Reply.Disk},
                             Reply.EchoSentAt);
  if (Member == nullptr || Member->Transfer) {
    return;
  }
  if (Reply.Accepted) {
    memberHolds(State, Message.from(), *Member, Reply.Index,
                instantFromMicros(Reply.EchoSentAt));
    return;
  }
  if (instantFromMicros(Reply.EchoSentAt) < Member->ModeSince) {
    return;
  }
  const auto Next =
      std::max(Member->Match, std::min(Member->Next - 1, Reply.Index)) + 1;
  const bool Changed = Next != Member->Next || !Member->Probing;
  Member->Next = Next;
  Member->Probing = true;
  Member->ModeSince = State.Now;
  Member->InFlight = 0;
  // A refusal that brings nothing new is late or repeated; the next heartbeat
  // probes again.
  if (Changed) {
    sendAppend(State, Message.from(), *Member);
  }
}

progress *heardMember(raft_state &State, const message &Message,
                      data_directory_id Disk, std::int64_t EchoSentAt) {
  const auto Found = State.Members.find(Message.from());
  const auto SentAt = instantFromMicros(EchoSentAt);
  if (State.Role != role::Leader || Found == State.Members.end() ||
      SentAt > State.Now) {
    return nullptr;
  }
  auto &Member = Found->second;
  if (Member.Disk != Disk) {
    Member = {};
    Member.Disk = Disk;
    Member.Next = State.Log.lastIndex() + 1;
  }
  Member.HeardAt = State.Now;
  Member.AckedSentAt =
      std::max(SentAt, Member.AckedSentAt.value_or(instant::min()));
  return &Member;
}

void memberHolds(raft_state &State, node_id Node, progress &Member,
                 std::uint64_t Index, instant SentAt) {
  if (Index > State.Log.lastIndex()) {
    return;
  }
  Member.Match = std::max(Member.Match, Index);
  Member.Next = std::max(Member.Next, Member.Match + 1);
  if (SentAt >= Member.ModeSince) {
    if (Member.Probing) {
      Member.Probing = false;
      Member.ModeSince = State.Now;
    }
    Member.InFlight -= Member.InFlight > 0 ? 1 : 0;
  }
  if (Member.Match + 1 == Member.Next) {
    Member.InFlight = 0;
  }
  sendPipelined(State, Node, Member);
  advanceCommit(State);
}

} // namespace arbutus::consensus::impl
