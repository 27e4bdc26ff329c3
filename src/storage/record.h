#ifndef ARBUTUS_STORAGE_RECORD_H
#define ARBUTUS_STORAGE_RECORD_H

#include "consensus/log_entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::storage::impl {

/// One entry as it stands in a segment: seven numbers of 8 bytes (mark,
/// payload length, index, term and kind, synced size, previous checksum,
/// checksum), then the payload.
struct record {
  consensus::log_entry Entry;
  /// Size of the segment that was synced when the record was written. A record
  /// that is damaged before this size of a later one was synced once.
  std::uint64_t SyncedBytes = 0;
  /// Checksum of the record before. It chains the records, so that old and new
  /// bytes of a rewritten tail never pass as one log.
  std::uint64_t Previous = 0;
  std::uint64_t Checksum = 0;
};

inline constexpr std::size_t RecordHeaderBytes = 7 * sizeof(std::uint64_t);

/// Sets the record's checksum and appends its bytes.
void encodeRecord(std::string &Bytes, record &Record);

/// Reads the record at `Offset`; nothing if it is incomplete or damaged.
[[nodiscard]] std::optional<record> decodeRecord(std::string_view Bytes,
                                                 std::size_t Offset);

/// Bytes that an entry takes in a segment.
[[nodiscard]] inline std::size_t
recordSize(const consensus::log_entry &Entry) noexcept {
  return RecordHeaderBytes + Entry.Payload.size();
}

/// True if a record after `Offset` shows that the bytes there were synced.
[[nodiscard]] bool laterRecordProvesSync(std::string_view Bytes,
                                         std::size_t Offset);

} // namespace arbutus::storage::impl

#endif
