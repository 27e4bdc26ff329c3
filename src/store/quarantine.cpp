#include "store/quarantine.h"

#include <fmt/format.h>

#include <charconv>

namespace arbutus::store {

std::string quarantineName(std::uint64_t SegmentHash) {
  return fmt::format("{:016x}", SegmentHash);
}

std::optional<std::uint64_t>
quarantinedSegment(std::string_view Name) noexcept {
  constexpr int Hexadecimal = 16;
  std::uint64_t Hash = 0;
  const char *Last = Name.data() + Name.size();
  const auto [End, Error] =
      std::from_chars(Name.data(), Last, Hash, Hexadecimal);
  if (Name.size() != 2 * sizeof(Hash) || Error != std::errc() || End != Last) {
    return std::nullopt;
  }
  return Hash;
}

} // namespace arbutus::store
