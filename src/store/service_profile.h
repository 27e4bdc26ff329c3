#ifndef ARBUTUS_STORE_SERVICE_PROFILE_H
#define ARBUTUS_STORE_SERVICE_PROFILE_H

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace arbutus::store {

/// What is common to the discovered upstreams of one service.
struct service_profile {
  std::string Name;
  /// Path of the health check, or empty.
  std::string HealthPath;
  /// Connections that an upstream accepts from the whole fleet.
  std::uint32_t MaxConnections = 0;
  /// Requests a second that a cold upstream bears; 0 if it bears full load.
  double ColdRequestsPerSecond = 0;
  /// True if the upstreams are model engines that batch requests and cache
  /// prompts.
  bool Model = false;
  /// Tokens that a model engine's cache holds.
  std::uint64_t CacheTokens = 0;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("name", Spec.Name);
    Visit.optional("health_path", Spec.HealthPath);
    Visit.optional("max_connections", Spec.MaxConnections);
    Visit.optional("cold_requests_per_second", Spec.ColdRequestsPerSecond);
    Visit.optional("model", Spec.Model);
    Visit.optional("cache_tokens", Spec.CacheTokens);
  }
  bool operator==(const service_profile &) const = default;
  MSGPACK_DEFINE(Name, HealthPath, MaxConnections, ColdRequestsPerSecond, Model,
                 CacheTokens)
};

} // namespace arbutus::store

#endif
