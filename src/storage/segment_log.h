#ifndef ARBUTUS_STORAGE_SEGMENT_LOG_H
#define ARBUTUS_STORAGE_SEGMENT_LOG_H

#include "consensus/log_entry.h"
#include "storage/file_io.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::storage::impl {

/// Position of an entry in its segment.
struct entry_position {
  std::uint64_t Offset = 0;
  std::uint64_t Term = 0;
  std::uint64_t Checksum = 0;
};

/// One file of the log, named after the index of its first entry.
struct segment {
  std::uint64_t FirstIndex = 0;
  std::uint64_t SizeBytes = 0;
  std::vector<entry_position> EntryPositions;

  [[nodiscard]] std::uint64_t endIndex() const noexcept {
    return FirstIndex + EntryPositions.size();
  }
};

/// The log entries on disk, in segment files of one directory. Only the last
/// segment is written. A segment is synced before the next one is created, so
/// that only the last one can have a torn tail.
class segment_log {
public:
  segment_log(const file_operations &Files, std::string Directory,
              std::size_t SegmentBytes)
      : Files(&Files), Directory(std::move(Directory)),
        SegmentBytes(SegmentBytes) {}

  /// Reads the segments from the one that holds the entry at `SnapshotIndex`
  /// on, and removes those before it unread: a log that is larger than the
  /// memory of this process can still be opened. Removes a torn tail and adds
  /// its size to `TornBytes`.
  [[nodiscard]] storage_result<std::vector<consensus::log_entry>>
  open(std::uint64_t SnapshotIndex, std::uint64_t &TornBytes);

  /// Index that the next appended entry must have, or zero if any is allowed.
  [[nodiscard]] std::uint64_t endIndex() const noexcept {
    return Segments.empty() ? 0 : Segments.back().endIndex();
  }
  [[nodiscard]] std::uint64_t bytes() const noexcept;

  /// Syncs the last segment and creates the next one.
  [[nodiscard]] storage_result<void> createSegment(std::uint64_t FirstIndex);

  /// Appends entries without a sync.
  [[nodiscard]] storage_result<void>
  append(const std::vector<consensus::log_entry> &Entries);

  /// Syncs what was appended.
  [[nodiscard]] storage_result<void> sync();

  /// Truncates unsynced entries after a failure. The log must be reopened
  /// afterwards.
  [[nodiscard]] storage_result<void> discardUnsynced();

  /// Removes the entries from `Index` on and syncs the removal. Without the
  /// sync, a removed entry could reappear next to new ones after a crash.
  [[nodiscard]] storage_result<void> truncateFrom(std::uint64_t Index);

  /// Removes the segments whose entries all are at or before `Index`, except
  /// the last segment.
  [[nodiscard]] storage_result<void> compactThrough(std::uint64_t Index);

  /// Removes all entries; the next appended entry may have any index.
  [[nodiscard]] storage_result<void> clear();

private:
  [[nodiscard]] std::string path(std::uint64_t FirstIndex) const;
  /// Removes a file and syncs the removal before the next one: after a power
  /// loss any of several unsynced removals may be undone, which would leave a
  /// gap.
  [[nodiscard]] storage_result<void> removeSegment(const std::string &Path);
  [[nodiscard]] storage_result<void>
  readSegment(const std::string &Name, bool IsLast,
              std::vector<consensus::log_entry> &Entries,
              std::uint64_t &TornBytes);
  [[nodiscard]] storage_result<void> openLastSegment();
  [[nodiscard]] storage_result<void> removeLastSegment();

  const file_operations *Files;
  std::string Directory;
  std::size_t SegmentBytes;
  std::vector<segment> Segments;
  open_file LastSegmentFile;
  std::uint64_t SyncedBytes = 0; ///< of the last segment
  std::uint64_t Checksum = 0;    ///< of the last record
};

/// Returns the number with leading zeros, so that file names sort by number.
[[nodiscard]] std::string zeroPaddedName(std::uint64_t Number);

/// Parses the number before `Suffix` in `Name`, or returns nothing if the name
/// has another form.
[[nodiscard]] std::optional<std::uint64_t>
parseNumberedName(std::string_view Name, std::string_view Suffix);

} // namespace arbutus::storage::impl

#endif
