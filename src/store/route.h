#ifndef ARBUTUS_STORE_ROUTE_H
#define ARBUTUS_STORE_ROUTE_H

#include <msgpack.hpp>

#include <string>

namespace arbutus::store {

/// Calls of a service with one method and one path prefix.
struct route {
  /// Upper-case HTTP method.
  std::string Method;
  /// Path within the service, starting with '/'. It matches whole segments:
  /// `/orders` matches `/orders` and `/orders/7`, not `/orders2`.
  std::string PathPrefix;
  /// True if running a call twice has the effect of running it once.
  bool Idempotent = false;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("method", Spec.Method);
    Visit.required("path_prefix", Spec.PathPrefix);
    Visit.required("idempotent", Spec.Idempotent);
  }
  bool operator==(const route &) const = default;
  MSGPACK_DEFINE(Method, PathPrefix, Idempotent)
};

} // namespace arbutus::store

#endif
