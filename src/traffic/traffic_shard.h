#ifndef ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H
#define ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H

#include "base/digest.h"
#include "router/router_context.h"
#include "router/shard.h"
#include "traffic/platform_codec.h"
#include "traffic/service_budgets.h"
#include "traffic/slot_allocator.h"

#include <memory>
#include <vector>

namespace arbutus::traffic {

struct traffic_request;

/// Numbers of requests grow over the lives of a router: a life has room for a
/// million requests for each millisecond that it starts after the one before.
[[nodiscard]] inline std::uint64_t
firstNumber(const router::router_context &Context) noexcept {
  return number(Context.Incarnation.load()) << 20U;
}

/// What one I/O thread needs to route requests by host and path.
struct traffic_shard {
  traffic_shard(router::router_context &Context, router::shard &Shard,
                const platform_codec &Codec, retry_limits Retries,
                slot_allocator::send_function Send)
      : Context(Context), Shard(Shard), Codec(Codec), Retries(Retries),
        Slots(Shard.Io, Context.Routing, Context.Node, hash64(Context.NodeName),
              firstNumber(Context), std::move(Send)) {}

  router::router_context &Context;
  router::shard &Shard;
  platform_codec Codec;
  service_budgets Retries;
  slot_allocator Slots;
  /// Requests that started here; ended ones are removed now and then.
  std::vector<std::weak_ptr<traffic_request>> Requests;
  std::size_t NextCleanup = 64;
};

} // namespace arbutus::traffic

#endif
