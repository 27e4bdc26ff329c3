#ifndef ARBUTUS_STORE_REQUEST_TABLE_H
#define ARBUTUS_STORE_REQUEST_TABLE_H

#include <msgpack.hpp>

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutus::store {

/// Request ids that are remembered.
inline constexpr std::size_t MaxRequestIds = 100'000;

/// Log time for which a request id is remembered, in milliseconds.
inline constexpr std::int64_t RequestRetentionMs = 86'400'000;

/// Memory for remembered answers, in bytes. At 18,000 changes a day, answers
/// of 3 KB each fit; the oldest are forgotten earlier if they do not.
inline constexpr std::size_t MaxRequestBytes = 67'108'864;

/// A remembered write.
struct request_record {
  std::string Id;
  /// Hash of the write without its request id.
  std::uint64_t ContentHash = 0;
  std::int64_t AtMs = 0;
  /// Serialized outcome.
  std::string Answer;

  MSGPACK_DEFINE(Id, ContentHash, AtMs, Answer)
};

/// First answers of operators' writes, oldest first.
class request_table {
public:
  /// The record of this id, or null.
  [[nodiscard]] const request_record *find(std::string_view Id) const;
  /// Adds a record whose id is not in the table and drops the oldest ones
  /// while there are too many.
  void add(request_record Record);
  /// Drops records that are older than the retention.
  void expire(std::int64_t NowMs);

  [[nodiscard]] std::size_t size() const noexcept { return Records.size(); }
  /// Builds the index after unpacking. Returns false if an id appears twice.
  [[nodiscard]] bool rebuild();
  MSGPACK_DEFINE(Records)

private:
  void dropOldest();

  std::list<request_record> Records;
  /// The keys are the ids in `Records`.
  std::unordered_map<std::string_view, const request_record *> ById;
  std::size_t Bytes = 0;
};

} // namespace arbutus::store

#endif
