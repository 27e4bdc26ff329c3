#ifndef ARBUTUS_TESTS_CONSENSUS_CLUSTER_CHECKS_H
#define ARBUTUS_TESTS_CONSENSUS_CLUSTER_CHECKS_H

#include "base/digest.h"
#include "consensus/consensus.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace arbutus::consensus::fake {

/// True if a majority of each set can be chosen without a common member.
inline bool disjointMajorities(const cluster_membership &Left,
                               const cluster_membership &Right) {
  const auto Common = static_cast<std::size_t>(std::count_if(
      Left.Voters.begin(), Left.Voters.end(), [&Right](const member &M) {
        return Right.isVoter(M.node(), M.directoryId());
      }));
  const auto FromCommon = [Common](const cluster_membership &Set) {
    const auto Own = Set.Voters.size() - Common;
    return Set.majority() > Own ? Set.majority() - Own : 0;
  };
  return FromCommon(Left) + FromCommon(Right) <= Common;
}

/// What must hold in every schedule, checked against everything that any node
/// has ever done. The first violation is kept.
class cluster_checks {
public:
  std::string Violation;
  std::uint64_t ReadFloor = 0; ///< newest index that a client has seen

  void fail(const std::string &What) {
    if (Violation.empty()) {
      Violation = What;
    }
  }

  /// One leader a term; it holds all entries committed in earlier terms; its
  /// voter set cannot elect another leader beside the committed set. A node
  /// may win an earlier term late, when its votes were delayed; it lacks what
  /// later terms committed, and that is allowed.
  void leads(const raft_status &Status, const recovered_state &Log) {
    const member Who(Status.NodeId, data_directory_id{});
    const auto [Known, Added] = LeaderOf.emplace(Status.Term, Who);
    if (Known->second != Who) {
      fail("two leaders in term " + std::to_string(Status.Term));
    }
    if (!Added) {
      return;
    }
    for (const auto &Entry : Log.Entries) {
      const auto Committed = Applied.find(Entry.Index);
      if (Committed != Applied.end() &&
          Committed->second.SeenInTerm < Status.Term &&
          Committed->second.Term != Entry.Term) {
        fail("leader lacks entry " + std::to_string(Entry.Index));
      }
    }
    const auto Missing = Applied.upper_bound(Status.LastIndex);
    if (Missing != Applied.end() && Missing->second.SeenInTerm < Status.Term) {
      fail("leader lacks committed entries");
    }
    if (VotersIndex != 0 && VotersSeenInTerm < Status.Term &&
        disjointMajorities(Status.Membership, CommittedVoters)) {
      fail("leader elected by voters apart from the committed ones");
    }
  }

  /// Logs that have an entry of the same index and term are the same up to it:
  /// index and term determine the entry and the term before it.
  void appended(const log_entry &Entry, std::uint64_t PreviousTerm) {
    const entry_mark Mark{hash64(Entry.Payload), PreviousTerm};
    const auto Key = std::make_pair(Entry.Index, Entry.Term);
    if (Appended.emplace(Key, Mark).first->second != Mark) {
      fail("logs differ at " + std::to_string(Entry.Index));
    }
  }

  /// Voter sets that are committed one after the other overlap. Called when a
  /// node gives an entry out, because it may crash before it applies it.
  void committed(const log_entry &Entry, std::uint64_t TermOfNode) {
    if (Entry.Kind != entry_kind::Membership || Entry.Index <= VotersIndex) {
      return;
    }
    auto Next = decode<cluster_membership>(Entry.Payload).value();
    if (VotersIndex != 0 && disjointMajorities(CommittedVoters, Next)) {
      fail("voter sets that follow each other have disjoint majorities");
    }
    CommittedVoters = std::move(Next);
    VotersIndex = Entry.Index;
    VotersSeenInTerm = TermOfNode;
  }

  /// All nodes apply the same entry at an index. Returns the digest of the
  /// state machine after it.
  std::uint64_t applied(const log_entry &Entry, std::uint64_t Digest,
                        std::uint64_t TermOfNode) {
    const auto After = Entry.Kind == entry_kind::Proposal
                           ? hash64(Entry.Payload, Digest)
                           : Digest;
    const applied_entry Mark{Entry.Term, After, TermOfNode};
    const auto Known = Applied.emplace(Entry.Index, Mark).first;
    if (Known->second.Term != Mark.Term || Known->second.Digest != After) {
      fail("different entries committed at " + std::to_string(Entry.Index));
    }
    return After;
  }

  /// A restored snapshot equals the state that entries lead to.
  void restored(std::uint64_t Index, std::uint64_t Digest) {
    const auto Known = Applied.find(Index);
    if (Known == Applied.end() || Known->second.Digest != Digest) {
      fail("snapshot differs from the state at " + std::to_string(Index));
    }
  }

  /// A read sees every write and every read that ended before it began.
  void read(std::uint64_t ReadIndex, std::uint64_t Seen) {
    if (ReadIndex < ReadFloor) {
      fail("stale read at " + std::to_string(ReadIndex));
    }
    ReadFloor = std::max(ReadFloor, Seen);
  }

  [[nodiscard]] const cluster_membership &committedVoters() const {
    return CommittedVoters;
  }
  [[nodiscard]] std::size_t leaders() const { return LeaderOf.size(); }

private:
  struct entry_mark {
    std::uint64_t Payload = 0;
    std::uint64_t PreviousTerm = 0;
    bool operator==(const entry_mark &) const = default;
  };
  struct applied_entry {
    std::uint64_t Term = 0;
    std::uint64_t Digest = 0;
    std::uint64_t SeenInTerm = 0; ///< at least the term that committed it
  };

  std::map<std::uint64_t, member> LeaderOf;
  std::map<std::pair<std::uint64_t, std::uint64_t>, entry_mark> Appended;
  std::map<std::uint64_t, applied_entry> Applied;
  cluster_membership CommittedVoters;
  std::uint64_t VotersIndex = 0;
  std::uint64_t VotersSeenInTerm = 0;
};

} // namespace arbutus::consensus::fake

#endif
