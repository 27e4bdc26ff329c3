#ifndef ARBUTUS_TRAFFIC_UPSTREAM_SELECTION_H
#define ARBUTUS_TRAFFIC_UPSTREAM_SELECTION_H

#include "base/clock.h"
#include "base/ids.h"
#include "store/config_view.h"
#include "traffic/traffic_request.h"

#include <memory>
#include <string_view>
#include <vector>

namespace arbutus::traffic {

/// Upstreams that must not get a request.
struct excluded_upstreams {
  std::vector<upstream_id> Ids;
  /// When the first of those that want no requests may be used again.
  instant FirstUsable = instant::max();
};

/// The view in force, which includes instances that were added or removed since
/// a request arrived.
[[nodiscard]] std::shared_ptr<const store::config_view>
currentView(const traffic_shard &Shard);

/// The instance of the pool with this id, or null.
[[nodiscard]] const store::instance_entry *
findInstance(const store::traffic_view &Traffic, std::string_view Pool,
             upstream_id Upstream);

/// True if the instance may get a request now.
[[nodiscard]] bool isSendable(const traffic_shard &Shard,
                              const store::instance_entry &Instance,
                              instant Now);

/// The upstreams that have failed the request, and those of its service that
/// want no requests of this router.
[[nodiscard]] excluded_upstreams
excludedUpstreams(const traffic_request &Request, instant Now);

/// Records what the response of the latest attempt says about further requests
/// to its upstream.
void recordRestrictions(const traffic_request &Request, instant Now);

/// Records the rate limit that the response of the latest attempt names.
void recordRateLimit(const traffic_request &Request);

} // namespace arbutus::traffic

#endif
