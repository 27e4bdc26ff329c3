#include "base/codec.h"

#include "base/json_reader.h"
#include "base/log.h"

#include <cstddef>
#include <cstdint>

namespace arbutus {

namespace {

/// A shorter message becomes some 12 MB at most, if each byte is an empty array
/// that is converted to a structure.
constexpr std::size_t SmallMessageBytes = std::size_t{64} << 10U;
/// A structure that an array is converted to, of which the message may leave
/// all fields out.
constexpr std::size_t StructureBytes = 160;
/// Memory for one message, as a multiple of that for one JSON text.
constexpr std::size_t MemoryFactor = 2;

/// Counts the memory of a message's values without building them. The functions
/// are those that the library calls; false ends the reading.
struct memory_counter : msgpack::null_visitor {
  std::size_t MaxBytes = 0;
  std::size_t UsedBytes = 0;

  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::uint32_t Elements) {
    return take(StructureBytes + Elements * sizeof(msgpack::object));
  }
  bool start_map(std::uint32_t Pairs) {
    return take(StructureBytes + Pairs * sizeof(msgpack::object_kv));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool take(std::size_t Bytes) {
    UsedBytes += Bytes;
    return UsedBytes <= MaxBytes;
  }
};

} // namespace

bool fitsMemory(std::string_view Bytes) {
  if (Bytes.size() <= SmallMessageBytes) {
    return true;
  }
  memory_counter Counter;
  Counter.MaxBytes = MemoryFactor * jsonLimits().MaxBytes;
  std::size_t Offset = 0;
  msgpack::parse(Bytes.data(), Bytes.size(), Offset, Counter);
  if (Counter.UsedBytes <= Counter.MaxBytes) {
    return true;
  }
  logEvent(
      log_level::Warning, "message_refused",
      {{"message_bytes", Bytes.size()}, {"memory_bytes", Counter.MaxBytes}});
  return false;
}

} // namespace arbutus
