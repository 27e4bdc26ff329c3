#ifndef ARBUTUS_STORE_QUARANTINE_H
#define ARBUTUS_STORE_QUARANTINE_H

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// Prompt segments that crash upstreams: requests that have all of them are
/// refused.
struct quarantine {
  /// Names of the segments, see `segmentName`.
  std::vector<std::string> Segments;
  /// Log time at which it ends, in milliseconds.
  std::int64_t UntilMs = 0;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("segments", Spec.Segments);
    Visit.required("until_ms", Spec.UntilMs);
  }
  bool operator==(const quarantine &) const = default;
  MSGPACK_DEFINE(Segments, UntilMs)
};

/// Name of a segment: the hash of its id as 16 hexadecimal digits.
[[nodiscard]] std::string segmentName(std::uint64_t Hash);

/// The inverse of `segmentName`. Returns nothing for any other text.
[[nodiscard]] std::optional<std::uint64_t>
segmentHash(std::string_view Name) noexcept;

/// Name of the quarantine of these segments: their names, joined by dots.
[[nodiscard]] std::string
quarantineName(const std::vector<std::string> &Segments);

} // namespace arbutus::store

#endif
