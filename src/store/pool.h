#ifndef ARBUTUS_STORE_POOL_H
#define ARBUTUS_STORE_POOL_H

#include "store/msgpack_ids.h"
#include <msgpack.hpp>

namespace arbutus::store {

/// The upstreams of one service, which have the pool's name. The members are
/// derived from the upstream objects and are not part of this one.
struct pool {
  /// Node that grants dispatch slots; 0 while none is assigned.
  node_id Grantor{};
  /// Generation of the grantor; 0 while none is assigned.
  epoch Epoch{};
  /// Life of the node that was appointed. A later life must not act for this
  /// epoch, because it does not know what the earlier one granted.
  incarnation Incarnation{};

  /// Calls `Visit` with the name and the value of every field.
  template <class Self, class Visitor>
  static void visitFields(Self &Spec, Visitor &Visit) {
    Visit.optional("grantor", Spec.Grantor);
    Visit.optional("epoch", Spec.Epoch);
    Visit.optional("incarnation", Spec.Incarnation);
  }
  bool operator==(const pool &) const = default;
  MSGPACK_DEFINE(Grantor, Epoch, Incarnation)
};

} // namespace arbutus::store

#endif
