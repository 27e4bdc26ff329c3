#ifndef ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H
#define ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H

#include "base/digest.h"
#include "router/router_context.h"
#include "router/shard.h"
#include "traffic/site_codec.h"
#include "traffic/traffic_pools.h"

#include <memory>
#include <vector>

namespace arbutus::traffic {

struct traffic_request;

/// What one I/O thread needs to route requests by host and path.
struct traffic_shard {
  traffic_shard(router::router_context &Context, router::shard &Shard,
                const site_codec &Codec)
      : Context(Context), Shard(Shard), Codec(Codec),
        Pools(Shard.Io, hash64(Context.NodeName)) {}

  router::router_context &Context;
  router::shard &Shard;
  site_codec Codec;
  traffic_pools Pools;
  /// Requests that started here; ended ones are removed now and then.
  std::vector<std::weak_ptr<traffic_request>> Requests;
  std::size_t NextCleanup = 64;
};

} // namespace arbutus::traffic

#endif
