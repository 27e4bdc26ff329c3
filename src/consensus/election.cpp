#include "consensus/election.h"

#include "consensus/replication.h"

namespace arbutus::consensus::impl {
namespace {

/// Counts this node's vote for itself, unless its log removes it as a voter.
void voteForSelf(raft_state &State) {
  if (State.isVoter()) {
    State.Votes.insert(State.Options.NodeId);
  }
}

void requestVotes(raft_state &State, bool PreVote) {
  for (const auto &Voter : State.membership().Voters) {
    if (Voter.node() == State.Options.NodeId) {
      continue;
    }
    auto &Message =
        sendMessage(State, Voter.node(),
                    vote_request{PreVote, State.Log.lastIndex(),
                                 State.Log.lastTerm(), Voter.DirectoryId});
    Message.Term += PreVote ? 1 : 0;
  }
}

void startElection(raft_state &State) {
  State.Role = role::Candidate;
  State.Votes.clear();
  setHardState(State, State.HardState.Term + 1, State.Options.NodeId);
  resetElectionTimer(State);
  requestVotes(State, false);
}

/// Starts the election or becomes leader when a majority has voted. A sole
/// voter is its own majority.
void countVotes(raft_state &State) {
  const auto HasMajority = [&State] {
    return State.Votes.size() >= State.membership().majority();
  };
  if (State.Role == role::PreCandidate && HasMajority()) {
    startElection(State);
  }
  if (State.Role == role::Candidate && HasMajority()) {
    becomeLeader(State);
  }
}

bool logIsUpToDate(const raft_state &State, const vote_request &Request) {
  const auto LastTerm = State.Log.lastTerm();
  return Request.LastTerm > LastTerm ||
         (Request.LastTerm == LastTerm &&
          Request.LastIndex >= State.Log.lastIndex());
}

} // namespace

void resetElectionTimer(raft_state &State) {
  const auto Spread = static_cast<std::uint64_t>(toMicros(
      State.Options.MaxElectionTimeout - State.Options.MinElectionTimeout));
  const auto Extra = static_cast<std::int64_t>(State.Random() % (Spread + 1));
  State.ElectionDeadline =
      State.Now + State.Options.MinElectionTimeout + duration(Extra);
}

void becomeFollower(raft_state &State, std::uint64_t Term,
                    std::optional<node_id> Leader) {
  if (Term > State.HardState.Term) {
    setHardState(State, Term, std::nullopt);
  }
  if (State.Role == role::Leader) {
    resetElectionTimer(State);
  }
  State.Role = role::Follower;
  State.Leader = Leader;
  State.Peers.clear();
  State.Votes.clear();
}

void startPreVote(raft_state &State) {
  resetElectionTimer(State);
  State.Leader.reset();
  if (!State.canCampaign()) {
    return;
  }
  State.Role = role::PreCandidate;
  State.Votes.clear();
  voteForSelf(State);
  requestVotes(State, true);
  countVotes(State);
}

bool leaderMayHoldLease(const raft_state &State) {
  return State.Role == role::Leader ||
         State.Now - State.LeaderContactAt < State.Options.MinElectionTimeout;
}

void onVoteRequest(raft_state &State, const message &Message,
                   const vote_request &Request) {
  const bool Eligible = data_directory_id{Request.VoterDirectoryId} ==
                            State.Options.DirectoryId &&
                        logIsUpToDate(State, Request) &&
                        !leaderMayHoldLease(State);
  if (Request.PreVote) {
    const bool Granted = Eligible && Message.Term > State.HardState.Term;
    auto &Reply = sendMessage(
        State, Message.from(),
        vote_reply{true, Granted, number(State.Options.DirectoryId)});
    Reply.Term = Granted ? Message.Term : State.HardState.Term;
    return;
  }
  const bool Granted = Eligible && Message.Term == State.HardState.Term &&
                       (!State.HardState.VotedFor ||
                        *State.HardState.VotedFor == Message.from());
  if (Granted) {
    if (!State.HardState.VotedFor) {
      setHardState(State, State.HardState.Term, Message.from());
    }
    State.Role = role::Follower;
    resetElectionTimer(State);
  }
  sendMessage(State, Message.from(),
              vote_reply{false, Granted, number(State.Options.DirectoryId)});
}

void onVoteReply(raft_state &State, const message &Message,
                 const vote_reply &Reply) {
  const bool Expected = Reply.PreVote
                            ? State.Role == role::PreCandidate &&
                                  Message.Term == State.HardState.Term + 1
                            : State.Role == role::Candidate &&
                                  Message.Term == State.HardState.Term;
  if (!Expected || !Reply.Granted ||
      !State.membership().isVoter(Message.from(),
                                  data_directory_id{Reply.VoterDirectoryId})) {
    return;
  }
  State.Votes.insert(Message.from());
  countVotes(State);
}

void onVoteSynced(raft_state &State) {
  if (State.Role == role::Candidate &&
      State.SyncedSequence >= State.HardStateSequence) {
    voteForSelf(State);
    countVotes(State);
  }
}

} // namespace arbutus::consensus::impl
