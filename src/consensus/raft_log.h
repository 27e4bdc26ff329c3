#ifndef ARBUTUS_CONSENSUS_RAFT_LOG_H
#define ARBUTUS_CONSENSUS_RAFT_LOG_H

#include "consensus/log_entry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace arbutus::consensus::impl {

/// The entries that a node holds in memory, without a gap, after a base whose
/// index and term are known. Callers keep indexes within the stated ranges.
class raft_log {
public:
  raft_log() = default;

  /// Starts from recovered entries. Without a snapshot right before the first
  /// entry, that entry itself becomes the base, because the term before it is
  /// unknown.
  explicit raft_log(const recovered_state &Recovered);

  [[nodiscard]] std::uint64_t baseIndex() const noexcept { return BaseIndex; }
  [[nodiscard]] std::uint64_t lastIndex() const noexcept {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const noexcept {
    return Entries.empty() ? BaseTerm : Entries.back().Term;
  }

  /// Term of the entry at `Index`, or nothing outside base to last.
  [[nodiscard]] std::optional<std::uint64_t>
  term(std::uint64_t Index) const noexcept;

  /// The entry at `Index`, which is after the base and at most the last.
  [[nodiscard]] const log_entry &at(std::uint64_t Index) const {
    return Entries[Index - BaseIndex - 1];
  }

  /// Copies entries from `From` on, at most `MaxEntries` and, beyond the
  /// first, at most `MaxBytes` of payload.
  [[nodiscard]] std::vector<log_entry>
  slice(std::uint64_t From, std::size_t MaxEntries, std::size_t MaxBytes) const;

  /// Appends the entry after the last one.
  void append(log_entry Entry);

  /// Removes the entries from `Index` on.
  void truncateFrom(std::uint64_t Index);

  /// Makes `Index`, which is in the log, the base.
  void compactThrough(std::uint64_t Index);

  /// Empties the log and sets its base.
  void reset(std::uint64_t Index, std::uint64_t Term);

private:
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<log_entry> Entries;
};

} // namespace arbutus::consensus::impl

#endif
