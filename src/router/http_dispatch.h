#ifndef ARBUTUS_ROUTER_HTTP_DISPATCH_H
#define ARBUTUS_ROUTER_HTTP_DISPATCH_H

#include "net/http_exchange.h"
#include "router/router_context.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutus::router {

/// An operator's request to the admin API, to be forwarded to the leader.
struct admin_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string RequestId;
  /// Earliest time at which the request can have arrived.
  instant ReceivedAt;
  /// Time for the leader's response. The default of 5 s covers an election.
  duration Timeout = 5s;
};

/// Response to an admin request; status 0 if none came in time.
struct admin_response {
  int Status = 0;
  std::string Body;
};

/// Callbacks into other parts of the process.
struct http_dispatch_hooks {
  /// Forwards an admin request; the callback runs on the given shard.
  std::function<void(admin_request, shard &,
                     std::function<void(admin_response)>)>
      ForwardToLeader;
  /// Updates gauges before the metrics are written.
  std::function<void(router_metrics &)> UpdateGauges;
  /// Replaces the set of peers whose frames are dropped. Returns false if the
  /// peers were not blocked. Empty unless fault injection is allowed.
  std::function<bool(const std::set<node_id> &)> SetBlockedPeers;
  std::vector<std::string> OperatorKeyHashes;
};

/// Handles a request of a caller or operator by its path.
void dispatchHttpRequest(router_context &Context,
                         const http_dispatch_hooks &Hooks, shard &Shard,
                         const std::shared_ptr<net::http_exchange> &Exchange);

} // namespace arbutus::router

#endif
