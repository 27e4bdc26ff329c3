#ifndef ARBUTUS_STORE_TRAFFIC_TEAM_H
#define ARBUTUS_STORE_TRAFFIC_TEAM_H

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// A team and the API keys of its callers.
struct traffic_team {
  std::string Name;
  /// Keys in clear, because the configuration is returned as it was sent.
  std::vector<std::string> Keys;
  /// Rank of the team's requests in place of their route's, if set.
  bool HasPriority = false;
  std::uint32_t Priority = 0;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("name", Spec.Name);
    Visit.required("keys", Spec.Keys);
    Visit.optional("has_priority", Spec.HasPriority);
    Visit.optional("priority", Spec.Priority);
  }
  bool operator==(const traffic_team &) const = default;
  MSGPACK_DEFINE(Name, Keys, HasPriority, Priority)
};

} // namespace arbutus::store

#endif
