#ifndef ARBUTUS_STORE_CHANGE_H
#define ARBUTUS_STORE_CHANGE_H

#include "store/msgpack_ids.h"
#include "store/resource.h"
#include <msgpack.hpp>

namespace arbutus::store {

/// One accepted change of one object. Every change has a revision of its own.
struct change {
  revision Revision{};
  object_key Key;
  /// The object after the change; null after a deletion.
  resource_ptr Object;

  MSGPACK_DEFINE(Revision, Key, Object)
};

} // namespace arbutus::store

#endif
