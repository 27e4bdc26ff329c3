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

/// True if a majority of each membership can be chosen without a common member.
inline bool haveDisjointMajorities(const cluster_membership &Left,
                                   const cluster_membership &Right) {
  const auto Common = static_cast<std::size_t>(std::count_if(
      Left.Voters.begin(), Left.Voters.end(), [&Right](const member &M) {
        return Right.isVoter(M.node(), M.directoryId());
      }));
  const auto NeededFromCommon = [Common](const cluster_membership &Membership) {
    const auto NotCommon = Membership.Voters.size() - Common;
    return Membership.majority() > NotCommon ? Membership.majority() - NotCommon
                                             : 0;
  };
  return NeededFromCommon(Left) + NeededFromCommon(Right) <= Common;
}

/// Invariants of every fault schedule, checked against everything that any node
/// has done. Keeps the first violation.
class cluster_checks {
public:
  std::string Violation;
  std::uint64_t MinReadIndex = 0; ///< newest index that a client has seen

  void fail(const std::string &Message) {
    if (Violation.empty()) {
      Violation = Message;
    }
  }

  /// A term has one leader. It holds all entries committed in earlier terms,
  /// and its membership cannot elect another leader beside the committed
  /// membership. If its votes were delayed, a node may win an earlier term
  /// late. It then lacks what later terms committed, and that is allowed.
  void onLeaderElected(const raft_status &Status, const recovered_state &Log) {
    const member Leader(Status.NodeId, data_directory_id{});
    const auto [Existing, Added] = LeaderByTerm.emplace(Status.Term, Leader);
    if (Existing->second != Leader) {
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
    if (MembershipIndex != 0 && MembershipSeenInTerm < Status.Term &&
        haveDisjointMajorities(Status.Membership, CommittedMembership)) {
      fail("leader elected by voters apart from the committed ones");
    }
  }

  /// Logs that have an entry of the same index and term are equal up to it:
  /// index and term determine the entry and the term before it.
  void onAppended(const log_entry &Entry, std::uint64_t PreviousTerm) {
    const entry_fingerprint Fingerprint{hash64(Entry.Payload), PreviousTerm};
    const auto Key = std::make_pair(Entry.Index, Entry.Term);
    if (Appended.emplace(Key, Fingerprint).first->second != Fingerprint) {
      fail("logs differ at " + std::to_string(Entry.Index));
    }
  }

  /// Consecutive committed memberships overlap. Called when a node returns an
  /// entry as committed, because it may crash before it applies it.
  void onCommitted(const log_entry &Entry, std::uint64_t TermOfNode) {
    if (Entry.Kind != entry_kind::Membership ||
        Entry.Index <= MembershipIndex) {
      return;
    }
    auto Next = decode<cluster_membership>(Entry.Payload).value();
    if (MembershipIndex != 0 &&
        haveDisjointMajorities(CommittedMembership, Next)) {
      fail("voter sets that follow each other have disjoint majorities");
    }
    CommittedMembership = std::move(Next);
    MembershipIndex = Entry.Index;
    MembershipSeenInTerm = TermOfNode;
  }

  /// All nodes apply the same entry at an index. Returns the digest of the
  /// state machine after it.
  std::uint64_t onApplied(const log_entry &Entry, std::uint64_t Digest,
                          std::uint64_t TermOfNode) {
    const auto After = Entry.Kind == entry_kind::Proposal
                           ? hash64(Entry.Payload, Digest)
                           : Digest;
    const applied_entry AppliedEntry{Entry.Term, After, TermOfNode};
    const auto Existing = Applied.emplace(Entry.Index, AppliedEntry).first;
    if (Existing->second.Term != AppliedEntry.Term ||
        Existing->second.Digest != After) {
      fail("different entries committed at " + std::to_string(Entry.Index));
    }
    return After;
  }

  /// A restored snapshot equals the state after applying the entries.
  void onSnapshotRestored(std::uint64_t Index, std::uint64_t Digest) {
    const auto Existing = Applied.find(Index);
    if (Existing == Applied.end() || Existing->second.Digest != Digest) {
      fail("snapshot differs from the state at " + std::to_string(Index));
    }
  }

  /// A read sees every write and every read that completed before it began.
  void onRead(std::uint64_t ReadIndex, std::uint64_t Seen) {
    if (ReadIndex < MinReadIndex) {
      fail("stale read at " + std::to_string(ReadIndex));
    }
    MinReadIndex = std::max(MinReadIndex, Seen);
  }

  [[nodiscard]] const cluster_membership &committedMembership() const {
    return CommittedMembership;
  }
  [[nodiscard]] std::size_t leaderTerms() const { return LeaderByTerm.size(); }

private:
  struct entry_fingerprint {
    std::uint64_t Payload = 0;
    std::uint64_t PreviousTerm = 0;
    bool operator==(const entry_fingerprint &) const = default;
  };
  struct applied_entry {
    std::uint64_t Term = 0;
    std::uint64_t Digest = 0;
    std::uint64_t SeenInTerm = 0; ///< not below the term that committed it
  };

  std::map<std::uint64_t, member> LeaderByTerm;
  std::map<std::pair<std::uint64_t, std::uint64_t>, entry_fingerprint> Appended;
  std::map<std::uint64_t, applied_entry> Applied;
  cluster_membership CommittedMembership;
  std::uint64_t MembershipIndex = 0;
  std::uint64_t MembershipSeenInTerm = 0;
};

} // namespace arbutus::consensus::fake

#endif
