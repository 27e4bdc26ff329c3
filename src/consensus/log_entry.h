#ifndef ARBUTUS_CONSENSUS_LOG_ENTRY_H
#define ARBUTUS_CONSENSUS_LOG_ENTRY_H

#include "base/codec.h"
#include "consensus/cluster_membership.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::consensus {

/// Kind of an entry.
enum class entry_kind : std::uint8_t {
  NoOp,       ///< first entry of a new leader; nothing to apply
  Proposal,   ///< bytes given by the caller
  Membership, ///< encoded `cluster_membership`, in force as soon as it is in
              ///< the log
};

/// One entry of the replicated log. Indexes start at 1.
struct log_entry {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  entry_kind Kind = entry_kind::NoOp;
  std::string Payload;

  bool operator==(const log_entry &) const = default;
  template <class Packer> void msgpack_pack(Packer &Out) const { // NOLINT
    Out.pack_array(4);
    Out.pack(Index);
    Out.pack(Term);
    Out.pack(static_cast<std::uint8_t>(Kind));
    Out.pack_bin(static_cast<std::uint32_t>(Payload.size()));
    Out.pack_bin_body(Payload.data(),
                      static_cast<std::uint32_t>(Payload.size()));
  }
  void msgpack_unpack(const msgpack::object &In); // NOLINT: name set by msgpack
};

/// Term and vote. They must be synced before the node acts on them.
struct hard_state {
  std::uint64_t Term = 0;
  std::optional<node_id> VotedFor;

  bool operator==(const hard_state &) const = default;
};

/// Last index and term that a snapshot covers, and the membership there.
struct snapshot_meta {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  cluster_membership Membership;

  bool operator==(const snapshot_meta &) const = default;
  MSGPACK_DEFINE(Index, Term, Membership)
};

/// A snapshot of the state machine. The data is shared, not copied.
struct snapshot {
  snapshot_meta Meta;
  std::shared_ptr<const std::string> Data;
};

/// The state that a restarted process read from its data directory. Entries are
/// contiguous, and the first one is at most one past the snapshot.
struct recovered_state {
  hard_state HardState;
  std::optional<snapshot> Snapshot;
  std::vector<log_entry> Entries;
};

/// Returns the initial state of every bootstrap voter: term 1 and one entry
/// with the membership. It must be written to the data directory before use.
[[nodiscard]] recovered_state bootstrapState(const cluster_membership &Voters);

} // namespace arbutus::consensus

#endif
