#ifndef ARBUTUS_STORE_MSGPACK_IDS_H
#define ARBUTUS_STORE_MSGPACK_IDS_H

#include "base/ids.h"
#include <msgpack.hpp>

MSGPACK_ADD_ENUM(arbutus::team_id)
MSGPACK_ADD_ENUM(arbutus::upstream_id)
MSGPACK_ADD_ENUM(arbutus::pool_id)
MSGPACK_ADD_ENUM(arbutus::node_id)
MSGPACK_ADD_ENUM(arbutus::incarnation)
MSGPACK_ADD_ENUM(arbutus::epoch)
MSGPACK_ADD_ENUM(arbutus::revision)

#endif
