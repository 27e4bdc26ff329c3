#ifndef ARBUTUS_ROUTER_POOL_DISPATCHER_H
#define ARBUTUS_ROUTER_POOL_DISPATCHER_H

#include "base/rcu_snapshot.h"
#include "pool/router_scheduler.h"
#include "router/shard.h"
#include "store/config_view.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::router {

/// A report to the grantor of a pool.
struct outgoing_report {
  pool_id Pool{};
  node_id Grantor{};
  pool::pool_report Report;
};

/// Callbacks of a waiting request. One of them runs, on the request's shard.
struct dispatch_callbacks {
  std::function<void(upstream_id)> OnDispatch;
  std::function<void()> OnExpired;
};

/// Queues requests and dispatches them to upstreams: holds the scheduler of
/// each pool, shared by the shards and the control thread. Each pool has its
/// own lock, held for a few table operations only.
class pool_dispatcher {
public:
  /// `OnReportDue` is called, from any thread, when a report is due within 2
  /// ms. The lock of a pool may be held during the call.
  pool_dispatcher(incarnation Incarnation, std::function<void()> OnReportDue);

  /// Queues a request unless `TeamQueueLimit` requests of its team already
  /// wait. Returns an upstream if the request can be sent at once. Otherwise
  /// one of the callbacks runs on `Shard`, unless `cancel` returns true before.
  [[nodiscard]] result<std::optional<upstream_id>, pool::admission_error>
  enqueue(pool_id Pool, pool::pending_request Request,
          std::uint32_t TeamQueueLimit, shard &Shard,
          dispatch_callbacks Callbacks);

  /// Removes a waiting request. Returns false if it was dispatched or is
  /// unknown.
  bool cancel(pool_id Pool, std::uint64_t RequestId);

  /// Completes a dispatched request and releases its slot. `TotalCost` is in
  /// tokens for models and 1 for other services.
  void complete(pool_id Pool, std::uint64_t RequestId, double TotalCost,
                pool::request_outcome Outcome,
                std::optional<duration> FirstTokenTime);

  /// Charges a request in flight for the cost so far.
  void updateCost(pool_id Pool, std::uint64_t RequestId, double CostSoFar);

  // The functions below are called on the control thread.

  /// Applies a configuration: pools, grantors, usable upstreams and weights.
  void configure(const store::config_view &View);
  void setLease(instant Until);
  void startSession(incarnation Incarnation);
  void onGrant(node_id From, pool_id Pool, const pool::pool_grant &Grant);
  [[nodiscard]] std::vector<outgoing_report> collectReports();

  /// Returns when the next report is due if nothing else happens.
  [[nodiscard]] instant nextReportTime() const;

  /// Removes waiting requests whose deadline has passed and posts their
  /// `OnExpired`.
  void expireWaiting();

  /// Requests that wait or are in flight, over all pools.
  [[nodiscard]] std::uint64_t waiting() const;
  [[nodiscard]] std::uint64_t inFlight() const;

private:
  [[nodiscard]] static pool::router_scheduler_options schedulerOptions();

  struct waiter {
    shard *Shard = nullptr;
    dispatch_callbacks Callbacks;
  };
  struct pool_entry {
    pool_entry(pool_id Pool, incarnation Incarnation)
        : Scheduler(Pool, Incarnation, schedulerOptions()) {}
    mutable std::mutex Mutex;
    pool::router_scheduler Scheduler;
    std::unordered_map<std::uint64_t, waiter> Waiters;
    bool ReportRequested = false;
  };
  using pool_map = std::map<pool_id, std::shared_ptr<pool_entry>>;

  [[nodiscard]] std::shared_ptr<pool_entry> find(pool_id Pool) const;
  [[nodiscard]] std::vector<std::shared_ptr<pool_entry>> allPools() const;
  void notifyDispatched(pool_entry &Entry,
                        const std::vector<pool::dispatch_decision> &Dispatches);
  void requestReportIfDue(pool_entry &Entry, instant Now);

  incarnation Incarnation;
  std::function<void()> OnReportDue;
  rcu_snapshot<pool_map> Pools;
  instant LeaseUntil{};
};

} // namespace arbutus::router

#endif
