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

/// An operator's call on its way to the leader.
struct admin_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string RequestId;
  /// Time for the leader's answer. The default covers an election.
  duration Timeout = 5s;
};

/// Answer to an operator's call; status 0 when none came in time.
struct admin_response {
  int Status = 0;
  std::string Body;
};

/// What the HTTP front needs from the rest of the process.
struct http_dispatch_hooks {
  /// Forwards a call; the callback follows on the given shard.
  std::function<void(admin_request, shard &,
                     std::function<void(admin_response)>)>
      ForwardToLeader;
  /// Sets gauges before metrics are read.
  std::function<void(router_metrics &)> UpdateGauges;
  /// Drops frames of these peers; empty unless fault injection is allowed.
  std::function<bool(const std::set<node_id> &)> SetBlockedPeers;
  std::vector<std::string> OperatorKeyHashes;
};

/// Sends a request of a caller or operator to its handler.
void dispatchHttpRequest(router_context &Context,
                         const http_dispatch_hooks &Hooks, shard &Shard,
                         const std::shared_ptr<net::http_exchange> &Exchange);

} // namespace arbutus::router

#endif
