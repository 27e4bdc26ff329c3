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
  explicit raft_log(const recovered_state &Recovered);

  [[nodiscard]] std::uint64_t baseIndex() const noexcept { return BaseIndex; }
  [[nodiscard]] std::uint64_t lastIndex() const noexcept {
    return BaseIndex + Entries.size();
  }
  [[nodiscard]] std::uint64_t lastTerm() const noexcept {
    return Entries.empty() ? BaseTerm : Entries.back().Term;
  }

  /// Returns the term at `Index`, or nothing if `Index` is before the base or
  /// after the last entry.
  [[nodiscard]] std::optional<std::uint64_t>
  term(std::uint64_t Index) const noexcept;

  /// Returns the entry at `Index`, which must be after the base and at most the
  /// last index.
  [[nodiscard]] const log_entry &at(std::uint64_t Index) const {
    return Entries[Index - BaseIndex - 1];
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
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<log_entry> Entries;
};

} // namespace arbutus::consensus::impl

#endif
