#ifndef ARBUTUS_STORE_QUARANTINE_H
#define ARBUTUS_STORE_QUARANTINE_H

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::store {

/// A segment of prompts that crashes upstreams: requests with it are refused.
/// The object's name is the hash of the segment's id.
struct quarantine {
  /// Log time at which it ends, in milliseconds.
  std::int64_t UntilMs = 0;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("until_ms", Spec.UntilMs);
  }
  bool operator==(const quarantine &) const = default;
  MSGPACK_DEFINE(UntilMs)
};

/// Name of the quarantine of a segment: its hash as 16 hexadecimal digits.
[[nodiscard]] std::string quarantineName(std::uint64_t SegmentHash);

/// The inverse of `quarantineName`. Returns nothing for any other text.
[[nodiscard]] std::optional<std::uint64_t>
quarantinedSegment(std::string_view Name) noexcept;

} // namespace arbutus::store

#endif
