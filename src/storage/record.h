#ifndef ARBUTUS_STORAGE_RECORD_H
#define ARBUTUS_STORAGE_RECORD_H

#include "consensus/log_entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::storage::impl {

/// One entry as stored in a segment: a header of seven 8-byte numbers (magic
/// number, payload length, index, term and kind, synced size, previous
/// checksum, checksum), then the payload.
struct record {
  consensus::log_entry Entry;
  /// Bytes of the segment that were synced when the record was written. A
  /// damaged record below this size of a later record had been synced, so it is
  /// corruption and no torn tail.
  std::uint64_t SyncedBytes = 0;
  /// Checksum of the previous record. The chain ensures that a mix of old and
  /// new bytes of a rewritten tail is never read as one log.
  std::uint64_t PreviousChecksum = 0;
  std::uint64_t Checksum = 0;
};

inline constexpr std::size_t RecordHeaderBytes = 7 * sizeof(std::uint64_t);

/// Sets the record's checksum and appends the encoded record.
void encodeRecord(std::string &Bytes, record &Record);

/// Decodes the record at `Offset`, or returns nothing if it is incomplete or
/// damaged.
[[nodiscard]] std::optional<record> decodeRecord(std::string_view Bytes,
                                                 std::size_t Offset);

/// Bytes that an entry occupies in a segment.
[[nodiscard]] inline std::size_t
recordSize(const consensus::log_entry &Entry) noexcept {
  return RecordHeaderBytes + Entry.Payload.size();
}

/// True if an intact record after `Offset` proves that the bytes there were
/// synced.
[[nodiscard]] bool laterRecordProvesSync(std::string_view Bytes,
                                         std::size_t Offset);

} // namespace arbutus::storage::impl

#endif
