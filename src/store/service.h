#ifndef ARBUTUS_STORE_SERVICE_H
#define ARBUTUS_STORE_SERVICE_H

#include "store/kinds.h"
#include "store/route.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// What callers ask for. Its upstreams are interchangeable and form one pool.
struct service {
  service_kind Kind = service_kind::Plain;
  /// Model name in chat requests; set for `Model` services only, unique.
  std::string Model;
  /// Calls that the service takes, at most 64.
  std::vector<route> Routes;
  /// Time limit of a request, in milliseconds.
  std::uint32_t DeadlineMs = 30'000;
  /// Concurrency limit of an upstream when it starts cold.
  std::uint32_t FirstLimit = 2;
  /// Slots by which slow start raises the limit per second of healthy use,
  /// 1.01 to 4.
  double Growth = 1.5;
  /// Requests that must complete before the limit of a cold upstream grows.
  std::uint32_t WarmRequests = 20;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("kind", Spec.Kind);
    Visit.optional("model", Spec.Model);
    Visit.optional("routes", Spec.Routes);
    Visit.optional("deadline_ms", Spec.DeadlineMs);
    Visit.optional("first_limit", Spec.FirstLimit);
    Visit.optional("growth", Spec.Growth);
    Visit.optional("warm_requests", Spec.WarmRequests);
  }
  bool operator==(const service &) const = default;
  MSGPACK_DEFINE(Kind, Model, Routes, DeadlineMs, FirstLimit, Growth,
                 WarmRequests)
};

} // namespace arbutus::store

#endif
