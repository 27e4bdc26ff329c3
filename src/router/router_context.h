#ifndef ARBUTUS_ROUTER_ROUTER_CONTEXT_H
#define ARBUTUS_ROUTER_ROUTER_CONTEXT_H

#include "base/rcu_snapshot.h"
#include "rollout/version_monitor.h"
#include "router/claim_client.h"
#include "router/crash_evidence.h"
#include "router/pool_dispatcher.h"
#include "router/retry_budget.h"
#include "router/router_metrics.h"
#include "router/routing_state.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace arbutus::router {

/// Progress of a graceful shutdown.
enum class drain_phase : int {
  Serving,
  Announced, ///< told to callers; still accepts new requests
  Draining,  ///< accepts no new requests, finishes the running ones
};

/// State shared by all shards of a router.
struct router_context {
  router_context(node_id Node, std::string NodeName, incarnation Incarnation,
                 asio::io_context &ControlIo, std::function<void()> OnReportDue,
                 claim_client::send_function SendClaim)
      : Node(Node), NodeName(std::move(NodeName)), Incarnation(Incarnation),
        Routing(std::make_unique<routing_state>()),
        Pools(Incarnation, std::move(OnReportDue)),
        Claims(ControlIo, std::move(SendClaim)) {}

  node_id Node;
  std::string NodeName;
  /// Replaced when the node starts a new session after its session has ended.
  std::atomic<incarnation> Incarnation;

  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  /// Limit of concurrent requests. Further ones are refused, so that file
  /// descriptors are left for new connections.
  std::int64_t MaxActiveRequests = std::numeric_limits<std::int64_t>::max();

  rcu_snapshot<routing_state> Routing;
  pool_dispatcher Pools;
  claim_client Claims;
  retry_budget Retries;
  router_metrics Metrics;
  crash_evidence Crashes;
  rollout::version_monitor Versions;

  /// Requests may be sent to upstreams before this instant.
  std::atomic<std::int64_t> LeaseUntilUs = 0;
  std::atomic<drain_phase> Drain = drain_phase::Serving;
  std::atomic<std::int64_t> ActiveRequests = 0;
  std::atomic<std::uint64_t> LastRequestId = 0;
};

/// True while the session lease holds.
[[nodiscard]] inline bool holdsLease(const router_context &Context,
                                     instant Now) noexcept {
  return toMicros(Now) < Context.LeaseUntilUs.load(std::memory_order_acquire);
}

} // namespace arbutus::router

#endif
