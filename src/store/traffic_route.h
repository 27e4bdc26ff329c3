#ifndef ARBUTUS_STORE_TRAFFIC_ROUTE_H
#define ARBUTUS_STORE_TRAFFIC_ROUTE_H

#include "store/request_kind.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// A service that takes a share of a route's requests.
struct route_target {
  std::string Service;
  /// Share relative to the route's other targets; 0 takes nothing.
  std::uint32_t Weight = 1;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("service", Spec.Service);
    Visit.optional("weight", Spec.Weight);
  }
  bool operator==(const route_target &) const = default;
  MSGPACK_DEFINE(Service, Weight)
};

/// The requests of one host whose path begins with a prefix.
struct traffic_route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash. The longest matching prefix wins.
  std::string PathPrefix;
  request_kind Kind = request_kind::NonIdempotent;
  std::vector<route_target> Targets;
  /// Longest time until a caller has its answer, in milliseconds.
  std::uint32_t TimeoutMs = 0;
  /// Time within which an answer is on time, in milliseconds; for streams the
  /// time to the first event. 0 if there is none.
  std::uint32_t ObjectiveMs = 0;
  /// Longest pause between two events that is still on time, in milliseconds;
  /// 0 if there is none.
  std::uint32_t PauseMs = 0;
  /// Most upstreams that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Rank under contention; 0 is the highest.
  std::uint32_t Priority = 0;
  /// True if requests need no API key.
  bool Public = false;
  /// True if the upstreams cache what requests have in common, so that similar
  /// requests should meet at one upstream.
  bool PrefixAffinity = false;
  /// True if a new run may continue a stream after its last event.
  bool Resumable = false;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("name", Spec.Name);
    Visit.required("host", Spec.Host);
    Visit.required("path_prefix", Spec.PathPrefix);
    Visit.required("kind", Spec.Kind);
    Visit.required("targets", Spec.Targets);
    Visit.required("timeout_ms", Spec.TimeoutMs);
    Visit.optional("objective_ms", Spec.ObjectiveMs);
    Visit.optional("pause_ms", Spec.PauseMs);
    Visit.optional("max_attempts", Spec.MaxAttempts);
    Visit.optional("priority", Spec.Priority);
    Visit.optional("public", Spec.Public);
    Visit.optional("prefix_affinity", Spec.PrefixAffinity);
    Visit.optional("resumable", Spec.Resumable);
  }
  bool operator==(const traffic_route &) const = default;
  MSGPACK_DEFINE(Name, Host, PathPrefix, Kind, Targets, TimeoutMs, ObjectiveMs,
                 PauseMs, MaxAttempts, Priority, Public, PrefixAffinity,
                 Resumable)
};

} // namespace arbutus::store

#endif
