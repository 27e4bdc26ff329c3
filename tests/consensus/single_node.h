#ifndef ARBUTUS_TESTS_CONSENSUS_SINGLE_NODE_H
#define ARBUTUS_TESTS_CONSENSUS_SINGLE_NODE_H

#include "consensus/consensus.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::consensus::fake {

/// Node 1 of three voters. The test sends the messages of peers 2 and 3.
struct single_node {
  instant Now = instantFromMicros(1'000'000);
  raft_options Options;
  raft_node Node;

  explicit single_node(recovered_state Recovered = threeVoters(),
                       data_directory_id DirectoryId = BootstrapDirectoryId)
      : Options(optionsWith(DirectoryId)),
        Node(Options, std::move(Recovered), std::mt19937_64(7), Now) {}

  static raft_options optionsWith(data_directory_id DirectoryId) {
    raft_options Options;
    Options.NodeId = node_id{1};
    Options.DirectoryId = DirectoryId;
    return Options;
  }

  static recovered_state threeVoters() {
    return bootstrapState(
        bootstrapVoters({node_id{1}, node_id{2}, node_id{3}}));
  }

  /// Three voters whose log continues with entries of these terms from index 2.
  static recovered_state withTerms(const std::vector<std::uint64_t> &Terms) {
    auto State = threeVoters();
    for (const auto Term : Terms) {
      State.HardState.Term = Term;
      State.Entries.push_back(
          {State.Entries.size() + 1, Term, entry_kind::Proposal, "x"});
    }
    return State;
  }

  output step(const input &Input) { return Node.step(Input, Now); }

  output receive(std::uint32_t From, std::uint64_t Term, message_body Body) {
    return step(peer_message{{From, 1, Term, std::move(Body)}});
  }

  /// Syncs the writes of an output.
  output sync(const output &Out) {
    return step(writes_synced{Out.Writes.Sequence});
  }

  /// Waits for the election timeout and wins with the votes of node 2.
  output winElection() {
    Now += DefaultMaxElectionTimeout;
    (void)step(tick{});
    const auto Term = status().Term + 1;
    const auto Asked = receive(2, Term, vote_reply{true, true, 0});
    (void)sync(Asked);
    return receive(2, Term, vote_reply{false, true, 0});
  }

  /// Delivers node `From`'s acceptance of all entries up to `Index`, in reply
  /// to a message sent at `SentAt`.
  output accept(std::uint32_t From, std::uint64_t Index,
                std::optional<instant> SentAt = std::nullopt,
                std::uint64_t DirectoryId = 0) {
    return receive(
        From, status().Term,
        append_reply{true, Index, toMicros(SentAt.value_or(Now)), DirectoryId});
  }

  /// Wins the election and commits the first entry of its term.
  void winElectionAndCommit() {
    (void)sync(winElection());
    (void)accept(2, status().LastIndex);
  }

  [[nodiscard]] consensus::raft_status status() const { return Node.status(); }
};

/// Returns the only message of this kind, or nothing if there is none or more
/// than one.
template <class Body>
std::optional<Body> onlyMessageOf(const std::vector<message> &Messages) {
  std::optional<Body> Found;
  for (const auto &Message : Messages) {
    if (const auto *Part = std::get_if<Body>(&Message.Body)) {
      if (Found) {
        return std::nullopt;
      }
      Found = *Part;
    }
  }
  return Found;
}

} // namespace arbutus::consensus::fake

#endif
