#ifndef ARBUTUS_STORE_UPSTREAM_H
#define ARBUTUS_STORE_UPSTREAM_H

#include "store/kinds.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::store {

/// A worker that serves requests of one or more services.
struct upstream {
  /// `IPv4:port` or `[IPv6]:port`; unique in the fleet.
  std::string Address;
  /// Name of the failure domain that the worker is in.
  std::string FailureDomain;
  /// Names of the services that the worker serves, 1 to 16.
  std::vector<std::string> Services;
  /// Ceiling of concurrent requests, 1 to 65,536.
  std::uint32_t MaxConcurrent = 0;
  upstream_state State = upstream_state::In;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("address", Spec.Address);
    Visit.required("failure_domain", Spec.FailureDomain);
    Visit.required("services", Spec.Services);
    Visit.required("max_concurrent", Spec.MaxConcurrent);
    Visit.optional("state", Spec.State);
  }
  bool operator==(const upstream &) const = default;
  MSGPACK_DEFINE(Address, FailureDomain, Services, MaxConcurrent, State)
};

} // namespace arbutus::store

#endif
