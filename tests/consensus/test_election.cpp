#include "fake_cluster.h"
#include "single_node.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::consensus;
using fake::onlyMessageOf;
using fake::single_node;

// Guards against a vote that elects a second leader in a term, a leader that
// lacks committed entries, or a leader beside one that holds a lease.
TEST_CASE("a vote is granted only if every rule allows it") {
  struct row {
    std::string Name;
    duration SinceLeader;
    std::uint64_t Term;
    vote_request Request;
    bool Granted;
  };
  // The node's log ends with index 3 of term 4.
  const std::vector<row> Rows = {
      {"same log", 900ms, 5, {false, 3, 4, 0}, true},
      {"longer log", 900ms, 5, {false, 9, 4, 0}, true},
      {"later last term", 900ms, 6, {false, 2, 5, 0}, true},
      {"shorter log", 900ms, 5, {false, 2, 4, 0}, false},
      {"earlier last term", 900ms, 5, {false, 9, 3, 0}, false},
      {"earlier term", 900ms, 3, {false, 3, 4, 0}, false},
      {"another data directory", 900ms, 5, {false, 3, 4, 8}, false},
      {"recent leader contact", 799ms, 5, {false, 3, 4, 0}, false},
      {"pre-vote", 900ms, 5, {true, 3, 4, 0}, true},
      {"pre-vote for the current term", 900ms, 4, {true, 3, 4, 0}, false},
      {"pre-vote, recent leader contact", 799ms, 5, {true, 3, 4, 0}, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    single_node Node(single_node::withTerms({4, 4}));
    (void)Node.receive(3, 4, append_request{3, 4, 0, 0, {}});
    Node.Now += Row.SinceLeader;
    const auto Out = Node.receive(2, Row.Term, Row.Request);
    const auto Reply = onlyMessageOf<vote_reply>(Out.MessagesAfterSync);
    CHECK((Reply && Reply->Granted) == Row.Granted);
    CHECK(Out.MessagesBeforeSync.empty());
    const bool Voted = Row.Granted && !Row.Request.PreVote;
    CHECK((Out.Writes.HardState && Out.Writes.HardState->VotedFor) == Voted);
  }
}

// Guards against two votes in one term, also across a restart.
TEST_CASE("a voter grants one vote per term") {
  auto Recovered = single_node::threeVoters();
  Recovered.HardState = {5, node_id{3}};
  single_node Node(Recovered);
  Node.Now += 900ms;
  const vote_request Request{false, 1, 1, 0};
  CHECK_FALSE(
      onlyMessageOf<vote_reply>(Node.receive(2, 5, Request).MessagesAfterSync)
          ->Granted);
  CHECK(onlyMessageOf<vote_reply>(Node.receive(3, 5, Request).MessagesAfterSync)
            ->Granted);
}

// Guards against a vote while a leader holds a lease that this voter
// acknowledged before its restart.
TEST_CASE("a restarted voter denies votes for the minimum election timeout") {
  single_node Node;
  Node.Now += DefaultMinElectionTimeout - 1ms;
  CHECK(Node.receive(2, 2, vote_request{false, 1, 1, 0})
            .MessagesAfterSync.empty());
  CHECK(Node.status().Term == 1);
  Node.Now += 1ms;
  const auto Out = Node.receive(2, 2, vote_request{false, 1, 1, 0});
  CHECK(onlyMessageOf<vote_reply>(Out.MessagesAfterSync)->Granted);
}

// Guards against a partitioned node that raises its term and deposes a working
// leader on its return.
TEST_CASE("a node without a majority keeps its term") {
  single_node Node;
  for (int Second = 0; Second < 60; ++Second) {
    Node.Now += 1s;
    (void)Node.step(tick{});
  }
  CHECK(Node.status().Term == 1);
  CHECK(Node.status().Role == role::PreCandidate);
}

// Guards against a vote by a process whose earlier votes were lost with its
// data directory.
TEST_CASE("a voter with an empty data directory neither campaigns nor votes") {
  single_node Node({}, data_directory_id{77});
  (void)Node.receive(
      2, 3, append_request{0, 0, 1, 0, single_node::threeVoters().Entries});
  CHECK(Node.status().Membership.Voters.size() == 3);
  CHECK_FALSE(Node.status().IsVoter);
  Node.Now += 10s;
  CHECK(Node.step(tick{}).MessagesAfterSync.empty());
  const auto Out = Node.receive(3, 4, vote_request{false, 9, 3, 0});
  CHECK_FALSE(onlyMessageOf<vote_reply>(Out.MessagesAfterSync)->Granted);
}

// Guards against a sole voter that leads one term twice with different entries
// (fault schedule seed 6571).
TEST_CASE("a sole voter leads only after its vote is synced") {
  single_node Node(bootstrapState(bootstrapVoters({node_id{1}})));
  Node.Now += DefaultMaxElectionTimeout;
  const auto Out = Node.step(tick{});
  CHECK(Out.Writes.HardState->Term == 2);
  CHECK(Node.status().Role == role::Candidate);
  const auto Led = Node.sync(Out);
  CHECK(Node.status().Role == role::Leader);
  CHECK(Node.sync(Led).CommittedEntries.size() == 2);
}

// Guards against a deadlock of two voters (fault schedule seeds 719, 866 and
// 2193): only the removed voter holds its removal, so that the other's log is
// shorter.
TEST_CASE("a voter campaigns until its removal is known to be committed") {
  auto Recovered = bootstrapState(bootstrapVoters({node_id{1}, node_id{2}}));
  Recovered.Entries.push_back(
      {2, 1, entry_kind::Membership, encode(bootstrapVoters({node_id{2}}))});
  single_node Node(Recovered);
  Node.Now += DefaultMaxElectionTimeout;
  CHECK(onlyMessageOf<vote_request>(Node.step(tick{}).MessagesAfterSync)
            ->PreVote);
  (void)Node.sync(Node.receive(2, 2, vote_reply{true, true, 0}));
  CHECK(Node.status().Role == role::Candidate);
  (void)Node.sync(Node.receive(2, 2, vote_reply{false, true, 0}));
  CHECK(Node.status().Role == role::Leader);
  (void)Node.accept(2, 3);
  CHECK(Node.status().Role == role::Follower);
  Node.Now += DefaultMaxElectionTimeout;
  CHECK(Node.step(tick{}).MessagesAfterSync.empty());
}

// Guards against a leader that continues without a majority, and against a
// paused leader that resumes and accepts requests.
TEST_CASE("a leader without replies from a majority steps down") {
  single_node Node;
  Node.winElectionAndCommit();
  Node.Now += DefaultMinElectionTimeout - 1ms;
  (void)Node.step(tick{});
  CHECK(Node.status().Role == role::Leader);
  Node.Now += 1ms;
  CHECK(Node.step(proposal_batch{{"late"}}).Rejection->Reason ==
        rejection_reason::NotLeader);
  CHECK(Node.status().Role == role::Follower);
}

// Guards against stale reads: in each step either another leader may have
// committed more, or this leader does not know what is committed.
TEST_CASE("reads are rejected without a lease and a commit in the term") {
  single_node Node;
  const auto RejectionReason = [&Node] {
    const auto Index = Node.Node.readIndex(Node.Now);
    return Index ? "" : std::string(nameOf(Index.error().Reason));
  };
  CHECK(RejectionReason() == "not_leader");
  (void)Node.sync(Node.winElection());
  CHECK(RejectionReason() == "no_entry_of_term");
  const auto SentAt = Node.Now;
  Node.Now += 500ms;
  (void)Node.accept(2, 2, SentAt);
  CHECK(Node.Node.readIndex(Node.Now).value() == 2);
  // The lease starts at the send time and not at the reply.
  Node.Now += 100ms;
  CHECK(RejectionReason() == "lease_expired");
  // A reply from another data directory does not extend it.
  (void)Node.accept(2, 2, Node.Now, 99);
  CHECK(RejectionReason() == "lease_expired");
  (void)Node.accept(3, 2, Node.Now);
  CHECK(RejectionReason().empty());
  (void)Node.step(storage_failed{});
  CHECK(RejectionReason() == "storage_failed");
}

// Guards against a node that acknowledges writes while its disk fails.
TEST_CASE("a node with failed storage sends no messages") {
  single_node Node;
  Node.winElectionAndCommit();
  (void)Node.step(storage_failed{});
  Node.Now += 10s;
  const auto Out = Node.receive(2, 9, vote_request{false, 9, 9, 0});
  CHECK(Out.MessagesAfterSync.empty());
  CHECK(Node.step(tick{}).MessagesBeforeSync.empty());
  CHECK(Node.step(proposal_batch{{"x"}}).Rejection->Reason ==
        rejection_reason::StorageFailed);
}
