#include "fake_cluster.h"
#include "single_node.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::consensus;
using fake::onlyMessageOf;
using fake::single_node;

namespace {

log_entry entry(std::uint64_t Index, std::uint64_t Term) {
  return {Index, Term, entry_kind::Proposal, "y"};
}

} // namespace

// Guards against one sync or message per proposal of a batch.
TEST_CASE("a batch of proposals is one append") {
  single_node Node;
  Node.winElectionAndCommit();
  (void)Node.accept(3, 2);
  const auto Out = Node.step(proposal_batch{{"a", "b", "c"}});
  CHECK(Out.Writes.EntriesToAppend.size() == 3);
  CHECK(Out.MessagesBeforeSync.size() == 2);
  CHECK(Out.MessagesAfterSync.empty());
  CHECK(Out.AcceptedRange->FirstIndex == 3);
  CHECK(Out.AcceptedRange->LastIndex == 5);
}

// Guards against a commit that counts entries which a crash can still lose.
TEST_CASE("a leader counts itself only after its sync") {
  single_node Node;
  Node.winElectionAndCommit();
  const auto Out = Node.step(proposal_batch{{"a"}});
  CHECK(Node.accept(2, 3).CommittedEntries.empty());
  CHECK(Node.sync(Out).CommittedEntries.size() == 1);
}

// Guards against the loss of an entry of an earlier term that a majority holds
// but a later leader can still overwrite.
TEST_CASE(
    "an entry of an earlier term commits only with one of the current term") {
  single_node Node(single_node::withTerms({2, 3}));
  (void)Node.sync(Node.winElection());
  CHECK(Node.accept(2, 3).CommittedEntries.empty());
  CHECK(Node.accept(2, 4).CommittedEntries.size() == 4);
}

// Guards against counting acknowledgements from another data directory.
TEST_CASE("a reply from another data directory does not count") {
  single_node Node;
  (void)Node.sync(Node.winElection());
  CHECK(Node.accept(2, 2, std::nullopt, 99).CommittedEntries.empty());
  CHECK(Node.accept(3, 2).CommittedEntries.size() == 2);
}

// Guards against entries that differ from the leader's or follow a gap.
TEST_CASE("a follower's log converges to the leader's") {
  struct row {
    std::string Name;
    append_request Request;
    bool Accepted;
    std::uint64_t Index;
    std::uint64_t Last;
    bool Truncated;
  };
  // The log holds terms 1, 2, 2, 3; index 1 is committed.
  const std::vector<row> Rows = {
      {"heartbeat", {4, 3, 0, 0, {}}, true, 4, 4, false},
      {"next entry", {4, 3, 0, 0, {entry(5, 4)}}, true, 5, 5, false},
      {"known entry", {3, 2, 0, 0, {entry(4, 3)}}, true, 4, 4, false},
      {"late heartbeat", {2, 2, 0, 0, {}}, true, 2, 4, false},
      {"other entry", {3, 2, 0, 0, {entry(4, 4)}}, true, 4, 4, true},
      {"other entry earlier", {1, 1, 0, 0, {entry(2, 4)}}, true, 2, 2, true},
      {"gap", {6, 4, 0, 0, {entry(7, 4)}}, false, 4, 4, false},
      {"conflict skips the term", {3, 3, 0, 0, {}}, false, 1, 4, false},
      {"wrong index", {4, 3, 0, 0, {entry(9, 4)}}, false, 0, 4, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    single_node Node(single_node::withTerms({2, 2, 3}));
    (void)Node.receive(2, 4, append_request{1, 1, 1, 0, {}});
    const auto Out = Node.receive(2, 4, Row.Request);
    const auto Reply = onlyMessageOf<append_reply>(Out.MessagesAfterSync);
    REQUIRE(Reply);
    CHECK(Reply->Accepted == Row.Accepted);
    CHECK(Reply->Index == Row.Index);
    CHECK(Node.status().LastIndex == Row.Last);
    CHECK(Out.Writes.TruncateFrom.has_value() == Row.Truncated);
  }
}

// Guards against a leader of an earlier term that never learns the new term.
TEST_CASE("a request of an earlier term gets a reply with the current term") {
  single_node Node(single_node::withTerms({5}));
  const auto Out = Node.receive(2, 3, append_request{1, 1, 1, 0, {}});
  REQUIRE(Out.MessagesAfterSync.size() == 1);
  CHECK(Out.MessagesAfterSync.front().Term == 5);
  CHECK(Node.receive(2, 3, append_reply{}).MessagesAfterSync.empty());
}

// Guards against unbounded traffic to a slow peer, in messages and in bytes.
TEST_CASE("appends in flight are limited") {
  struct row {
    const char *Name;
    std::size_t PayloadBytes;
    std::size_t Sent;
  };
  const row Rows[] = {
      {"small entries", 1, MaxAppendsInFlight},
      {"entries of a quarter of the byte limit", MaxBytesInFlight / 4, 4},
      {"an entry above the byte limit", MaxBytesInFlight + 1, 1},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    single_node Node;
    Node.winElectionAndCommit();
    std::size_t Sent = 0;
    for (int Batch = 0; Batch < 100; ++Batch) {
      Sent += Node.step(proposal_batch{{std::string(Row.PayloadBytes, 'x')}})
                  .MessagesBeforeSync.size();
    }
    CHECK(Sent == Row.Sent);
  }
}

// Guards against entries that are kept by number alone: entries that hold whole
// configurations then fill the memory long before the number is reached.
TEST_CASE("the entries kept below a snapshot are bounded in bytes") {
  struct row {
    const char *Name;
    std::size_t PayloadBytes;
    std::uint64_t Kept;
  };
  const row Rows[] = {
      {"small entries", 1, 100},
      {"entries of an eighth of the limit", DefaultTrailingBytes / 8, 8},
      {"entries above the limit", DefaultTrailingBytes + 1, 0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    single_node Leader;
    Leader.winElectionAndCommit();
    const auto First = Leader.status().LastIndex + 1;
    for (int I = 0; I < 100; ++I) {
      const auto Out =
          Leader.step(proposal_batch{{std::string(Row.PayloadBytes, 'x')}});
      (void)Leader.sync(Out);
      (void)Leader.accept(2, Out.AcceptedRange->LastIndex);
    }
    const auto Last = Leader.status().CommitIndex;
    REQUIRE(Last == First + 99);
    const auto Data = std::make_shared<const std::string>("state");
    (void)Leader.step(snapshot_saved{Last, Data});
    const auto FirstKept = std::max(Leader.status().FirstIndex, First);
    CHECK(Last + 1 - FirstKept == Row.Kept);
  }
}

// Guards against a change of two voters at once, which could leave disjoint
// majorities, and against new voters that stall commits.
TEST_CASE("members change one at a time") {
  single_node Node;
  const auto Change = [&Node](membership_change_kind Kind, std::uint32_t Id,
                              std::uint64_t DirectoryId = 0) {
    const auto Out = Node.step(
        membership_change{Kind, node_id{Id}, data_directory_id{DirectoryId}});
    if (Out.Rejection) {
      return std::string(nameOf(Out.Rejection->Reason));
    }
    (void)Node.sync(Out);
    return std::string("accepted");
  };
  CHECK(Change(membership_change_kind::Remove, 3) == "not_leader");
  (void)Node.sync(Node.winElection());
  CHECK(Change(membership_change_kind::Remove, 3) == "no_entry_of_term");
  (void)Node.accept(2, 2);
  CHECK(Change(membership_change_kind::Promote, 4) == "not_member");
  CHECK(Change(membership_change_kind::Promote, 2) == "already_member");
  CHECK(Change(membership_change_kind::AddLearner, 4, 9) == "accepted");
  CHECK(Change(membership_change_kind::Remove, 3) == "change_in_progress");
  (void)Node.accept(2, 3);
  CHECK(Change(membership_change_kind::AddLearner, 4, 9) == "already_member");
  CHECK(Change(membership_change_kind::Promote, 4) == "not_caught_up");
  (void)Node.accept(4, 3, std::nullopt, 8);
  CHECK(Change(membership_change_kind::Promote, 4) == "not_caught_up");
  (void)Node.accept(4, 3, std::nullopt, 9);
  CHECK(Change(membership_change_kind::Promote, 4) == "accepted");
  (void)Node.accept(2, 4);
  CHECK(Node.status().CommitIndex == 3);
  (void)Node.accept(3, 4);
  CHECK(Node.status().CommitIndex == 4);
  // A voter that lost its data directory returns as a learner.
  CHECK(Change(membership_change_kind::AddLearner, 3, 33) == "accepted");
  CHECK(Node.status().Membership.Voters.size() == 3);
  CHECK(Node.status().Membership.isLearner(node_id{3}));
  single_node Sole(bootstrapState(bootstrapVoters({node_id{1}})));
  Sole.Now += DefaultMaxElectionTimeout;
  (void)Sole.sync(Sole.sync(Sole.step(tick{})));
  CHECK(Sole.step(membership_change{
                      membership_change_kind::Remove, node_id{1}, {}})
            .Rejection->Reason == rejection_reason::LastVoter);
}

// Guards against chunks above the mesh's message limit, installation of an
// incomplete snapshot, and chunks joined in the wrong order.
TEST_CASE("a lagging member gets the snapshot in chunks") {
  single_node Leader;
  Leader.winElectionAndCommit();
  const auto Data = std::make_shared<const std::string>(150'000, 's');
  for (int Batch = 0; Batch < 12; ++Batch) {
    const auto Out =
        Leader.step(proposal_batch{std::vector<std::string>(100, "x")});
    (void)Leader.sync(Out);
    (void)Leader.accept(2, Out.AcceptedRange->LastIndex);
  }
  CHECK(Leader.status().CommitIndex == 1202);
  CHECK(Leader.Node.snapshotMeta(1203) == std::nullopt);
  const auto Saved = Leader.step(snapshot_saved{1202, Data});
  CHECK(Saved.Writes.CompactThrough == 1202 - DefaultTrailingEntries);
  CHECK(Leader.Node.snapshotMeta(1202) == std::nullopt);
  // Node 3 has an empty log.
  auto Out = Leader.receive(3, 2, append_reply{false, 0, 0, 5});
  single_node Follower({}, data_directory_id{5});
  std::vector<std::size_t> Sizes;
  output FollowerOut;
  while (const auto Chunk =
             onlyMessageOf<snapshot_chunk>(Out.MessagesBeforeSync)) {
    Sizes.push_back(Chunk->Bytes.size());
    (void)Follower.receive(3, 2, *Chunk);
    FollowerOut =
        Follower.receive(3, 2, *Chunk); // a duplicated chunk adds nothing
    const auto Reply =
        onlyMessageOf<snapshot_reply>(FollowerOut.MessagesAfterSync);
    REQUIRE(Reply);
    if (Reply->Installed) {
      break;
    }
    Out = Leader.receive(3, 2, snapshot_reply{*Reply});
  }
  CHECK(Sizes == std::vector<std::size_t>{65536, 65536, 150'000 - 131'072});
  CHECK(Follower.status().CommitIndex == 1202);
  CHECK(Follower.status().Membership.Voters.size() == 3);
}

// Guards against the loss of acknowledged entries after the snapshot.
TEST_CASE("a snapshot does not replace a log with its last entry") {
  single_node Node(single_node::withTerms({2, 2, 2}));
  const snapshot_meta Meta{3, 2, bootstrapVoters({node_id{1}})};
  const auto Out = Node.receive(2, 3, snapshot_chunk{Meta, 0, 1, 0, "s"});
  CHECK(onlyMessageOf<snapshot_reply>(Out.MessagesAfterSync)->Installed);
  CHECK_FALSE(Out.SnapshotToRestore);
  CHECK(Out.CommittedEntries.size() == 3);
  CHECK(Node.status().LastIndex == 4);
  single_node Other(single_node::withTerms({2, 2, 2}));
  const snapshot_meta Differs{3, 3, bootstrapVoters({node_id{1}})};
  const auto Reset = Other.receive(2, 3, snapshot_chunk{Differs, 0, 1, 0, "s"});
  CHECK(Reset.SnapshotToRestore->Meta == Differs);
  CHECK(Reset.Writes.ResetLog);
  CHECK(Other.status().LastIndex == 3);
}

// Guards against messages that encoding changes, and malformed ones that crash
// the receiver.
TEST_CASE("messages are unchanged by encoding and decoding") {
  const std::vector<message_body> Bodies = {
      vote_request{true, 1, 2, 3},
      vote_reply{true, false, 4},
      append_request{1, 2, 3, 4, {entry(5, 6)}},
      append_reply{true, 1, 2, 3},
      snapshot_chunk{{1, 2, bootstrapVoters({node_id{1}})}, 3, 4, 5, "bytes"},
      snapshot_reply{1, 2, true, 3, 4}};
  for (const auto &Body : Bodies) {
    const message Sent{1, 2, 3, Body};
    const auto Bytes = encode(Sent);
    const auto Got = decode<message>(Bytes);
    REQUIRE(Got);
    CHECK(encode(Got.value()) == Bytes);
    CHECK_FALSE(decode<message>(Bytes.substr(0, Bytes.size() - 1)));
  }
  auto Unknown = encode(message{1, 2, 3, vote_reply{}});
  Unknown[4] = 6; // the number of the kind
  CHECK_FALSE(decode<message>(Unknown));
}

// Guards against reordered replies that make every rejection of an append
// resend all entries. With that fault, the fault schedules did not end within 9
// minutes.
TEST_CASE("late replies do not multiply resends") {
  single_node Node;
  Node.winElectionAndCommit();
  const auto SentAt = Node.Now;
  for (int Batch = 0; Batch < 10; ++Batch) {
    (void)Node.sync(Node.step(proposal_batch{{"x"}}));
  }
  Node.Now += 10ms;
  const append_reply Rejected{false, 2, toMicros(SentAt), 0};
  const append_reply Accepted{true, 2, toMicros(SentAt), 0};
  std::size_t Sent = 0;
  for (int Round = 0; Round < 10; ++Round) {
    Sent += Node.receive(2, 2, Rejected).MessagesBeforeSync.size();
    Sent += Node.receive(2, 2, Accepted).MessagesBeforeSync.size();
  }
  // One probe; late acceptances do not end probing.
  CHECK(Sent == 1);
}
