#ifndef ARBUTUS_STORE_RESOURCE_H
#define ARBUTUS_STORE_RESOURCE_H

#include "store/failure_domain.h"
#include "store/fleet_config.h"
#include "store/instance.h"
#include "store/kinds.h"
#include "store/msgpack_ids.h"
#include "store/policy.h"
#include "store/pool.h"
#include "store/quarantine.h"
#include "store/rollout.h"
#include "store/service.h"
#include "store/tagged_variant.h"
#include "store/team.h"
#include "store/upstream.h"
#include <msgpack.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>

namespace arbutus::store {

/// The fields of an object; the alternatives are in the order of
/// `resource_kind`.
using resource_spec =
    tagged_variant<team, upstream, failure_domain, service, policy, pool,
                   fleet_config, instance, quarantine, rollout>;

[[nodiscard]] inline resource_kind kindOf(const resource_spec &Spec) noexcept {
  return static_cast<resource_kind>(Spec.Value.index());
}

/// Identifies an object.
struct object_key {
  resource_kind Kind = resource_kind::Team;
  std::string Name;

  bool operator==(const object_key &) const = default;
  bool operator<(const object_key &Other) const noexcept {
    return std::tie(Kind, Name) < std::tie(Other.Kind, Other.Name);
  }
  MSGPACK_DEFINE(Kind, Name)
};

/// One stored object. It is immutable once stored; a change replaces it.
struct resource {
  std::string Name;
  /// `team_id`, `upstream_id` (of an upstream or, in numbers of their own, of
  /// an instance) or `pool_id` (of a service and its pool), which is never
  /// reused; 0 for the other kinds.
  std::uint32_t Number = 0;
  /// Larger after every change of the object, also across its deletion.
  std::uint64_t Version = 0;
  /// Store-wide revision of the object's last change.
  revision Revision{};
  resource_spec Spec;

  [[nodiscard]] resource_kind kind() const noexcept { return kindOf(Spec); }
  [[nodiscard]] object_key key() const { return {kind(), Name}; }
  /// The typed fields, or null if the object is of another kind.
  template <class T> [[nodiscard]] const T *as() const noexcept {
    return std::get_if<T>(&Spec.Value);
  }
  bool operator==(const resource &) const = default;
  MSGPACK_DEFINE(Name, Number, Version, Revision, Spec)
};

using resource_ptr = std::shared_ptr<const resource>;

} // namespace arbutus::store

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// The library's own reader of shared pointers cannot fill a const object.
  template <> struct convert<arbutus::store::resource_ptr> {
    const msgpack::object &operator()(const msgpack::object &In,
                                      arbutus::store::resource_ptr &Out) const {
      if (In.is_nil()) {
        Out.reset();
      } else {
        Out = std::make_shared<const arbutus::store::resource>(
            In.as<arbutus::store::resource>());
      }
      return In;
    }
  };

  } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

#endif
