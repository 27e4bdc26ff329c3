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

/// A report that is to be sent to the grantor of a pool.
struct outgoing_report {
  pool_id Pool{};
  node_id Grantor{};
  pool::pool_report Report;
};

/// What a waiting request is told, on its own shard.
struct wait_callbacks {
  std::function<void(upstream_id)> OnDispatch;
  std::function<void()> OnExpired;
};

/// The credit accounts of all pools, shared by the shards and the control
/// thread. Each pool has its own lock, held for a few table operations only.
class pool_dispatcher {
public:
  /// `Wake` is called, from any thread, when a report has become due.
  pool_dispatcher(incarnation Incarnation, std::function<void()> Wake);

  /// Queues a request unless `TeamQueueLimit` requests of its team wait
  /// already. Returns an upstream when it may be sent at once; else
  /// one of the callbacks follows on `Shard`, unless `cancel` returns true.
  [[nodiscard]] result<std::optional<upstream_id>, pool::admission_error>
  enqueue(pool_id Pool, pool::pending_request Request,
          std::uint32_t TeamQueueLimit, shard &Shard, wait_callbacks Callbacks);

  /// Removes a waiting request. False if it was dispatched or is unknown.
  bool cancel(pool_id Pool, std::uint64_t RequestId);

  /// Ends a dispatched request and frees its slot.
  void complete(pool_id Pool, std::uint64_t RequestId, double TotalCost,
                pool::request_outcome Outcome,
                std::optional<duration> FirstTokenTime);

  /// Charges a running request for what it has used so far.
  void progress(pool_id Pool, std::uint64_t RequestId, double CostSoFar);

  // The rest is called on the control thread.

  /// Adds pools, follows grantors and sets usable upstreams and weights.
  void configure(const store::config_view &View);
  void setLease(instant Until);
  void startSession(incarnation Incarnation);
  void onGrant(node_id From, pool_id Pool, const pool::pool_grant &Grant);
  [[nodiscard]] std::vector<outgoing_report> collectReports();

  /// When the next report is due if nothing else happens.
  [[nodiscard]] instant nextReportTime() const;

  /// Tells waiting requests whose deadline has passed.
  void expireWaiting();

  /// Requests waiting and in flight over all pools.
  [[nodiscard]] std::uint64_t waiting() const;
  [[nodiscard]] std::uint64_t inFlight() const;

private:
  [[nodiscard]] static pool::router_scheduler_options schedulerOptions();

  struct waiter {
    shard *Shard = nullptr;
    wait_callbacks Callbacks;
  };
  struct pool_entry {
    pool_entry(pool_id Pool, incarnation Incarnation)
        : Account(Pool, Incarnation, schedulerOptions()) {}
    mutable std::mutex Mutex;
    pool::router_scheduler Account;
    std::unordered_map<std::uint64_t, waiter> Waiters;
    bool ReportRequested = false;
  };
  using pool_map = std::map<pool_id, std::shared_ptr<pool_entry>>;

  [[nodiscard]] std::shared_ptr<pool_entry> find(pool_id Pool) const;
  [[nodiscard]] std::vector<std::shared_ptr<pool_entry>> all() const;
  void deliver(pool_entry &Entry,
               const std::vector<pool::dispatch_decision> &List);
  void wakeIfDue(pool_entry &Entry, instant Now);

  incarnation Incarnation;
  std::function<void()> Wake;
  rcu_snapshot<pool_map> Pools;
  instant LeaseUntil{};
};

} // namespace arbutus::router

#endif
