#ifndef ARBUTUS_CONSENSUS_MESSAGE_H
#define ARBUTUS_CONSENSUS_MESSAGE_H

#include "base/codec.h"
#include "consensus/log_entry.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::consensus {

/// Asks for a vote, or in a pre-vote whether a vote would be granted.
/// `VoterDirectoryId` is the receiver's data directory in the candidate's
/// membership. A receiver with another data directory does not vote.
struct vote_request {
  bool PreVote = false;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t VoterDirectoryId = 0;
  MSGPACK_DEFINE(PreVote, LastIndex, LastTerm, VoterDirectoryId)
};

/// Reply to a `vote_request`. A granted pre-vote carries the requested term.
struct vote_reply {
  bool PreVote = false;
  bool Granted = false;
  std::uint64_t VoterDirectoryId = 0;
  MSGPACK_DEFINE(PreVote, Granted, VoterDirectoryId)
};

/// Carries entries after `PrevIndex`; without entries it is a heartbeat.
/// `SentAtMicros` is the leader's clock and is echoed in the reply.
struct append_request {
  std::uint64_t PrevIndex = 0;
  std::uint64_t PrevTerm = 0;
  std::uint64_t CommitIndex = 0;
  std::int64_t SentAtMicros = 0;
  std::vector<log_entry> Entries;
  MSGPACK_DEFINE(PrevIndex, PrevTerm, CommitIndex, SentAtMicros, Entries)
};

/// Reply to an `append_request`, sent after the entries are synced. If
/// accepted, the logs match up to `Index`. If rejected, the leader must send
/// entries after `Index` or from an earlier one.
struct append_reply {
  bool Accepted = false;
  std::uint64_t Index = 0;
  std::int64_t EchoSentAtMicros = 0;
  std::uint64_t DirectoryId = 0;
  MSGPACK_DEFINE(Accepted, Index, EchoSentAtMicros, DirectoryId)
};

/// One part of a snapshot, at most `raft_options::MaxChunkBytes` long.
struct snapshot_chunk {
  snapshot_meta Meta;
  std::uint64_t Offset = 0;
  std::uint64_t TotalBytes = 0;
  std::int64_t SentAtMicros = 0;
  std::string Bytes;
  MSGPACK_DEFINE(Meta, Offset, TotalBytes, SentAtMicros, Bytes)
};

/// Reply to a `snapshot_chunk`. The receiver needs the bytes from `NextOffset`
/// on or, if `Installed`, has synced the state up to `Index`.
struct snapshot_reply {
  std::uint64_t Index = 0;
  std::uint64_t NextOffset = 0;
  bool Installed = false;
  std::int64_t EchoSentAtMicros = 0;
  std::uint64_t DirectoryId = 0;
  MSGPACK_DEFINE(Index, NextOffset, Installed, EchoSentAtMicros, DirectoryId)
};

using message_body = std::variant<vote_request, vote_reply, append_request,
                                  append_reply, snapshot_chunk, snapshot_reply>;

/// A message between two members. `encode` and `decode` of base/codec.h convert
/// it to bytes and back. The receiver must check that `From` is the
/// authenticated sender.
struct message {
  std::uint32_t From = 0;
  std::uint32_t To = 0;
  std::uint64_t Term = 0;
  message_body Body;

  [[nodiscard]] node_id from() const noexcept { return node_id{From}; }
  [[nodiscard]] node_id to() const noexcept { return node_id{To}; }

  template <class Packer> void msgpack_pack(Packer &Out) const { // NOLINT
    Out.pack_array(5);
    Out.pack(From);
    Out.pack(To);
    Out.pack(Term);
    Out.pack(static_cast<std::uint8_t>(Body.index()));
    std::visit([&Out](const auto &Part) { Out.pack(Part); }, Body);
  }
  void msgpack_unpack(const msgpack::object &In); // NOLINT: name set by msgpack
};

} // namespace arbutus::consensus

#endif
