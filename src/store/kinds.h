#ifndef ARBUTUS_STORE_KINDS_H
#define ARBUTUS_STORE_KINDS_H

#include "base/name_table.h"
#include <msgpack.hpp>

namespace arbutus::store {

/// Kinds of resources. The numbers are part of the log and snapshot formats.
enum class resource_kind : int {
  Team = 0,
  Upstream = 1,
  FailureDomain = 2,
  Service = 3,
  Policy = 4,
  Pool = 5,
  Configuration = 6,
  Instance = 7,
  Quarantine = 8,
  Rollout = 9,
};

/// Number of values of `resource_kind`.
inline constexpr int ResourceKinds = 10;

/// A `Leaving` upstream receives no new work.
enum class upstream_state : int { In = 0, Leaving = 1 };

/// The upstreams of a failure domain that is `Out` receive no new work.
enum class domain_state : int { In = 0, Out = 1 };

/// A `Model` service is chosen by model name, a `Plain` one by path.
enum class service_kind : int { Model = 0, Plain = 1 };

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::resource_kind> {
  static constexpr name_row<store::resource_kind> Rows[] = {
      {store::resource_kind::Team, "team"},
      {store::resource_kind::Upstream, "upstream"},
      {store::resource_kind::FailureDomain, "failure_domain"},
      {store::resource_kind::Service, "service"},
      {store::resource_kind::Policy, "policy"},
      {store::resource_kind::Pool, "pool"},
      {store::resource_kind::Configuration, "configuration"},
      {store::resource_kind::Instance, "instance"},
      {store::resource_kind::Quarantine, "quarantine"},
      {store::resource_kind::Rollout, "rollout"},
  };
};

template <> struct name_table<store::upstream_state> {
  static constexpr name_row<store::upstream_state> Rows[] = {
      {store::upstream_state::In, "in"},
      {store::upstream_state::Leaving, "leaving"},
  };
};

template <> struct name_table<store::domain_state> {
  static constexpr name_row<store::domain_state> Rows[] = {
      {store::domain_state::In, "in"},
      {store::domain_state::Out, "out"},
  };
};

template <> struct name_table<store::service_kind> {
  static constexpr name_row<store::service_kind> Rows[] = {
      {store::service_kind::Model, "model"},
      {store::service_kind::Plain, "plain"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::store::resource_kind)
MSGPACK_ADD_ENUM(arbutus::store::upstream_state)
MSGPACK_ADD_ENUM(arbutus::store::domain_state)
MSGPACK_ADD_ENUM(arbutus::store::service_kind)

#endif
