#ifndef ARBUTUS_STORE_REQUEST_KIND_H
#define ARBUTUS_STORE_REQUEST_KIND_H

#include "base/name_table.h"
#include <msgpack.hpp>

namespace arbutus::store {

/// What may be repeated of the requests of a route. The numbers are part of
/// the log format.
enum class request_kind : int {
  /// May run more than once.
  Idempotent = 0,
  /// Runs at most once.
  NonIdempotent = 1,
  /// Answered by a series of events; runs at most once, unless the route lets
  /// a new run resume it.
  Stream = 2,
};

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::request_kind> {
  static constexpr name_row<store::request_kind> Rows[] = {
      {store::request_kind::Idempotent, "idempotent"},
      {store::request_kind::NonIdempotent, "non_idempotent"},
      {store::request_kind::Stream, "stream"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::store::request_kind)

#endif
