#ifndef ARBUTUS_STORE_FAILURE_DOMAIN_H
#define ARBUTUS_STORE_FAILURE_DOMAIN_H

#include "store/kinds.h"
#include <msgpack.hpp>

#include <string>

namespace arbutus::store {

/// A set of machines that fail together or are taken out of service together.
struct failure_domain {
  std::string Region;
  domain_state State = domain_state::In;

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.required("region", Spec.Region);
    Visit.optional("state", Spec.State);
  }
  bool operator==(const failure_domain &) const = default;
  MSGPACK_DEFINE(Region, State)
};

} // namespace arbutus::store

#endif
