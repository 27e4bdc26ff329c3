#ifndef ARBUTUS_STORE_TEAM_H
#define ARBUTUS_STORE_TEAM_H

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// A team of callers that shares capacity with the other teams.
struct team {
  /// Share of contended capacity relative to other teams, 1 to 1,000.
  std::uint32_t Weight = 1;
  /// Lower-case hexadecimal SHA-256 of each valid API key, at most 16.
  std::vector<std::string> ApiKeyHashes;
  /// Names of the services that the team may use, at most 64.
  std::vector<std::string> Services;
  /// Waiting requests per router before new ones are refused.
  std::uint32_t QueueLength = 1'000;
  /// Largest request body, in bytes.
  std::uint64_t BodyBytes = 1'048'576;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.optional("weight", Spec.Weight);
    Visit.optional("api_key_hashes", Spec.ApiKeyHashes);
    Visit.optional("services", Spec.Services);
    Visit.optional("queue_length", Spec.QueueLength);
    Visit.optional("body_bytes", Spec.BodyBytes);
  }
  bool operator==(const team &) const = default;
  MSGPACK_DEFINE(Weight, ApiKeyHashes, Services, QueueLength, BodyBytes)
};

} // namespace arbutus::store

#endif
