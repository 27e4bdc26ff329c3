#include "store/quarantine.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <charconv>

namespace arbutus::store {

std::string segmentName(std::uint64_t Hash) {
  return fmt::format("{:016x}", Hash);
}

std::optional<std::uint64_t> segmentHash(std::string_view Name) noexcept {
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

std::string quarantineName(const std::vector<std::string> &Segments) {
  return fmt::format("{}", fmt::join(Segments, "."));
}

} // namespace arbutus::store
