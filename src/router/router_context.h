#ifndef ARBUTUS_ROUTER_ROUTER_CONTEXT_H
#define ARBUTUS_ROUTER_ROUTER_CONTEXT_H

#include "base/rcu_snapshot.h"
#include "router/claim_client.h"
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

/// How far a graceful shutdown has come.
enum class drain_phase : int {
  Serving,
  Announced, ///< announced; still takes new requests of callers that come
  Draining,  ///< takes no new requests, finishes the running ones
};

/// What all shards of a router share.
struct router_context {
  router_context(node_id Node, std::string NodeName, incarnation Incarnation,
                 asio::io_context &ControlIo, std::function<void()> WakeReports,
                 claim_client::send_function SendClaim)
      : Node(Node), NodeName(std::move(NodeName)), Incarnation(Incarnation),
        Routing(std::make_unique<routing_state>()),
        Pools(Incarnation, std::move(WakeReports)),
        Claims(ControlIo, std::move(SendClaim)) {}

  node_id Node;
  std::string NodeName;
  /// Replaced when the node comes back after its session has ended.
  std::atomic<incarnation> Incarnation;

  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  /// Requests that may be in progress at once; further ones are refused, so
  /// that descriptors are left for new connections.
  std::int64_t MaxActiveRequests = std::numeric_limits<std::int64_t>::max();

  rcu_snapshot<routing_state> Routing;
  pool_dispatcher Pools;
  claim_client Claims;
  retry_budget Retries;
  router_metrics Metrics;

  /// New work may be sent before this instant, in microseconds.
  std::atomic<std::int64_t> LeaseUntil = 0;
  std::atomic<drain_phase> Drain = drain_phase::Serving;
  std::atomic<std::int64_t> ActiveRequests = 0;
  std::atomic<std::uint64_t> LastRequestId = 0;
};

/// True while the session lease holds.
[[nodiscard]] inline bool holdsLease(const router_context &Context,
                                     instant Now) noexcept {
  return toMicros(Now) < Context.LeaseUntil.load(std::memory_order_acquire);
}

} // namespace arbutus::router

#endif
