#ifndef ARBUTUS_STORE_TRAFFIC_LIMITS_H
#define ARBUTUS_STORE_TRAFFIC_LIMITS_H

#include <msgpack.hpp>

#include <cstdint>

namespace arbutus::store {

/// What one caller may send, and the capacity that the teams share.
struct traffic_limits {
  /// 0 leaves a limit to the settings.
  std::uint64_t HeaderBytes = 0;
  std::uint64_t BodyBytes = 0;
  std::uint32_t HeaderTimeoutMs = 0;
  std::uint32_t IdleTimeoutMs = 0;
  /// Tokens that all model engines process in a second, each output token
  /// counted twice; 0 if not known.
  std::uint64_t TokensPerSecond = 0;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.optional("header_bytes", Spec.HeaderBytes);
    Visit.optional("body_bytes", Spec.BodyBytes);
    Visit.optional("header_timeout_ms", Spec.HeaderTimeoutMs);
    Visit.optional("idle_timeout_ms", Spec.IdleTimeoutMs);
    Visit.optional("tokens_per_second", Spec.TokensPerSecond);
  }
  bool operator==(const traffic_limits &) const = default;
  MSGPACK_DEFINE(HeaderBytes, BodyBytes, HeaderTimeoutMs, IdleTimeoutMs,
                 TokensPerSecond)
};

} // namespace arbutus::store

#endif
