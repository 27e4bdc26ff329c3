#ifndef ARBUTUS_CONSENSUS_RAFT_LOG_H
#define ARBUTUS_CONSENSUS_RAFT_LOG_H

#include "consensus/log_entry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace arbutus::consensus::impl {

/// The contiguous in-memory entries after a base of known index and term.
/// Indexes passed in must be within the stated ranges.
class raft_log {
public:
  raft_log() = default;

  /// Starts from recovered entries. If no snapshot directly precedes the first
  /// entry, that entry becomes the base, because the term before it is unknown.
  raft_log(const std::optional<snapshot> &Snapshot,
           std::vector<log_entry> Recovered);

  [[nodiscard]] std::uint64_t baseIndex() const noexcept { return BaseIndex; }
  [[nodiscard]] std::uint64_t lastIndex() const noexcept {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const noexcept {
    return Entries.empty() ? BaseTerm : Entries.back().Entry.Term;
  }

  /// Returns the term at `Index`, or nothing if `Index` is before the base or
  /// after the last entry.
  [[nodiscard]] std::optional<std::uint64_t>
  term(std::uint64_t Index) const noexcept;

  /// Returns the entry at `Index`, which must be after the base and at most the
  /// last index.
  [[nodiscard]] const log_entry &at(std::uint64_t Index) const {
    return Entries[Index - BaseIndex - 1].Entry;
  }

  /// Payload bytes of the entries after `From` up to and including `To`, both
  /// from the base to the last index.
  [[nodiscard]] std::uint64_t payloadBytes(std::uint64_t From,
                                           std::uint64_t To) const {
    return endOffset(To) - endOffset(From);
  }

  /// Copies entries from `From` on: at most `MaxEntries` and, beyond the first,
  /// at most `MaxBytes` of payload.
  [[nodiscard]] std::vector<log_entry>
  slice(std::uint64_t From, std::size_t MaxEntries, std::size_t MaxBytes) const;

  /// Appends an entry, whose index must be one past the last.
  void append(log_entry Entry);

  /// Removes the entries from `Index` on.
  void truncateFrom(std::uint64_t Index);

  /// Removes the entries up to `Index`, which must be in the log and becomes
  /// the base.
  void compactThrough(std::uint64_t Index);

  /// Removes all entries and sets the base.
  void reset(std::uint64_t Index, std::uint64_t Term);

private:
  struct stored_entry {
    log_entry Entry;
    /// Payload bytes of all entries up to this one since the log was made.
    std::uint64_t EndOffset = 0;
  };

  [[nodiscard]] std::uint64_t endOffset(std::uint64_t Index) const {
    return Index == BaseIndex ? BaseOffset
                              : Entries[Index - BaseIndex - 1].EndOffset;
  }
  void removeFirst();

  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::uint64_t BaseOffset = 0;
  std::deque<stored_entry> Entries;
};

} // namespace arbutus::consensus::impl

#endif
