#ifndef ARBUTUS_TRAFFIC_HEDGING_H
#define ARBUTUS_TRAFFIC_HEDGING_H

#include "balance/hedge_policy.h"
#include "base/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace arbutus::net {
class http_exchange;
} // namespace arbutus::net

namespace arbutus::traffic {

struct traffic_request;
struct traffic_shard;

/// What a router knows of a service for second attempts.
struct service_hedging {
  balance::response_time_quantiles Times;
  balance::hedge_budget Budget;
  balance::slow_upstreams Slow;
};

using service_hedging_map = std::map<std::string, service_hedging, std::less<>>;

/// Starts a request that was admitted, as `handleRequest` does.
using start_function =
    std::function<void(const std::shared_ptr<traffic_request> &Request)>;

/// True if the request may get a second attempt while the first one runs: the
/// settings allow extra work, and the request may be repeated.
[[nodiscard]] bool mayHedge(const traffic_request &Request);

/// Prepares a request for a second attempt: its answer goes through a race, and
/// a timer decides when the first one is slow. Called before the request is
/// started.
void prepareHedge(const std::shared_ptr<traffic_request> &Request,
                  start_function Start);

/// Records the response time of an attempt that was answered.
void recordHedgeTime(const traffic_request &Request, duration Time);

} // namespace arbutus::traffic

#endif
