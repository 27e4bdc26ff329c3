#ifndef ARBUTUS_STORE_INSTANCE_H
#define ARBUTUS_STORE_INSTANCE_H

#include "store/kinds.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace arbutus::store {

/// An upstream that discovery has found. Its name is the identity of one run
/// of the worker; the address may belong to another worker later.
struct instance {
  std::string Service;
  /// `IPv4:port`.
  std::string Address;
  std::string FailureDomain;
  /// Requests that it runs at once.
  std::uint32_t Slots = 0;
  upstream_state State = upstream_state::In;
  /// True while it bears only its service's cold rate.
  bool Cold = false;
  /// Start of the worker in Unix milliseconds, 0 if not known. It tells two
  /// runs under one name apart.
  std::uint64_t StartedMs = 0;
  /// Version of the worker's software, empty if not known.
  std::string Version;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("service", Spec.Service);
    Visit.required("address", Spec.Address);
    Visit.required("failure_domain", Spec.FailureDomain);
    Visit.optional("slots", Spec.Slots);
    Visit.optional("state", Spec.State);
    Visit.optional("cold", Spec.Cold);
    Visit.optional("started_ms", Spec.StartedMs);
    Visit.optional("software_version", Spec.Version);
  }
  bool operator==(const instance &) const = default;
  MSGPACK_DEFINE(Service, Address, FailureDomain, Slots, State, Cold, StartedMs,
                 Version)
};

} // namespace arbutus::store

#endif
