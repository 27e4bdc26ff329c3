#ifndef ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H
#define ARBUTUS_TRAFFIC_TRAFFIC_SHARD_H

#include "base/digest.h"
#include "net/request_numbers.h"
#include "rollout/exposure_limit.h"
#include "router/router_context.h"
#include "router/shard.h"
#include "traffic/hedging.h"
#include "traffic/platform_codec.h"
#include "traffic/service_budgets.h"
#include "traffic/slot_allocator.h"
#include "traffic/upstream_restrictions.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::traffic {

struct traffic_request;

/// State of one I/O thread for requests that are routed by host and path.
struct traffic_shard {
  traffic_shard(router::router_context &Context, router::shard &Shard,
                const platform_codec &Codec, retry_limits Retries,
                slot_allocator::send_function Send, double HedgeShare = 0)
      : Context(Context), Shard(Shard), Codec(Codec), Retries(Retries),
        Slots(Shard.Io, Context.Routing, Context.Node, hash64(Context.NodeName),
              net::randomSequenceStart(), std::move(Send)),
        HedgeShare(HedgeShare) {}

  router::router_context &Context;
  router::shard &Shard;
  platform_codec Codec;
  service_budgets Retries;
  slot_allocator Slots;
  /// Requests of this shard to services with a running rollout.
  std::map<std::string, rollout::exposure_limit, std::less<>> Exposure;
  /// Extra work of second attempts that is allowed, as a share of a service's
  /// requests; 0 for none.
  double HedgeShare;
  service_hedging_map Hedging;
  /// What upstreams have asked of this router in their responses.
  upstream_restrictions Restrictions;
  /// View that `Restrictions` was last compared with.
  std::shared_ptr<const store::config_view> RestrictionsView;
  /// Requests of this shard. Expired pointers are removed when the size reaches
  /// `CleanupThreshold`.
  std::vector<std::weak_ptr<traffic_request>> Requests;
  std::size_t CleanupThreshold = 64;
};

} // namespace arbutus::traffic

#endif
