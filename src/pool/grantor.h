#ifndef ARBUTUS_POOL_GRANTOR_H
#define ARBUTUS_POOL_GRANTOR_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"
#include "pool/circuit_breaker.h"
#include "pool/fair_scheduler.h"
#include "pool/messages.h"
#include "pool/router_session.h"
#include "pool/upstream_limit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::pool {

/// One upstream of the pool, as configured.
struct upstream_config {
  upstream_id Upstream{};
  std::uint32_t MaxLimit = 1;
  std::uint32_t FirstLimit = 1;
  /// Slots added per second of healthy use in slow start.
  double GrowthPerSecond = 1;
  /// False while the upstream is draining or its failure domain is out of
  /// service.
  bool Usable = true;
  std::string FailureDomain;
  /// Requests that must complete before a cold upstream's limit grows.
  std::uint32_t WarmRequests = 0;
};

struct grantor_options {
  /// Time after which unacknowledged entries are resent.
  duration ResendAfter = 50ms;
  /// Time after which a report is acknowledged if nothing else is sent.
  duration AckDelay = 50ms;
  /// Time without waiting teams before the pool counts as uncontended and the
  /// reserve is distributed again.
  duration UncontendedDelay = 20ms;
  /// Time without waiting teams that ends a busy period.
  duration BusyPeriodGap = 1s;
  /// Time between two distributions of the reserve.
  duration ReserveInterval = 100ms;
  /// Minimum time between announcements of a limit that rose by a quarter or
  /// more. A lower limit is announced at once.
  duration LimitAnnounceInterval = 1s;
  /// Time without a report after which a router gets no new slots.
  duration RouterTimeout = 500ms;
  breaker_options Breaker;
};

enum class grant_reason {
  /// The team had the minimum virtual time of the waiting ones.
  LeastVirtualTime,
  /// No team waited: idle slots for a router.
  Reserve,
};

struct grant_record {
  grant_reason Reason{};
  std::optional<team_id> Team;
  upstream_id Upstream{};
  node_id Node{};
  std::uint32_t Count = 0;
};

enum class limit_cause { Growth, Overload, Cold, Restarted, Returned, Resumed };

struct limit_change {
  upstream_id Upstream{};
  std::uint32_t OldLimit = 0, NewLimit = 0;
  limit_cause Cause{};
};

struct breaker_change {
  upstream_id Upstream{};
  breaker_state State{};
};

/// Decisions of a grantor since the previous `run`, for the log.
struct grantor_decisions {
  std::vector<grant_record> Grants;
  std::vector<limit_change> LimitChanges;
  std::vector<breaker_change> BreakerChanges;
  /// Set when the pool became contended or uncontended.
  std::optional<bool> Contended;
};

struct run_result {
  std::vector<std::pair<node_id, pool_grant>> Grants;
  grantor_decisions Decisions;
};

/// Grants the slots of one pool in weighted fair order, for one epoch. Not
/// thread-safe. The slots that routers hold on an upstream, counted from their
/// reports and unacknowledged grants, never grow beyond its limit.
class grantor {
public:
  grantor(pool_id Pool, epoch Epoch, grantor_options Options, instant Now);

  void setUpstreams(const std::vector<upstream_config> &List, instant Now);
  void setTeamWeights(const std::vector<std::pair<team_id, double>> &Weights);
  /// Sets the sessions. A known session that is not listed counts as ended.
  /// `run` does nothing before the first call. Listed sessions that have not
  /// reported are assumed to hold all slots that the others did not report.
  void setRouterSessions(const std::vector<session_info> &List, instant Now);

  /// Applies a report; ignores one of another epoch, an older session or an
  /// older sequence.
  void onReport(node_id Node, incarnation Incarnation,
                const pool_report &Report, instant Now);
  void onLoadReport(upstream_id Upstream, const upstream_load_report &Report,
                    instant Now);

  /// Takes all decisions that are due and returns a grant for each router that
  /// needs one.
  [[nodiscard]] run_result run(instant Now);

  /// Slots of an upstream that are or may be in use: held, granted but not yet
  /// acknowledged, orphaned by ended sessions, or assumed.
  [[nodiscard]] std::uint32_t occupied(upstream_id Upstream) const;
  /// Orphaned and assumed slots of an upstream.
  [[nodiscard]] std::uint32_t unconfirmedSlots(upstream_id Upstream) const;
  /// Slots that may be in use at most; 0 if the upstream is not usable or its
  /// breaker is open.
  [[nodiscard]] std::uint32_t effectiveLimit(upstream_id Upstream) const;
  [[nodiscard]] double virtualTime(team_id Team) const;
  [[nodiscard]] bool contended() const noexcept { return Contended; }
  [[nodiscard]] pool_id pool() const noexcept { return Pool; }
  [[nodiscard]] epoch currentEpoch() const noexcept { return Epoch; }

private:
  struct upstream_state {
    upstream_config Config;
    upstream_limit Limit;
    circuit_breaker Breaker;
    /// Slots of routers that have reported, with unacknowledged grants.
    std::uint32_t Held = 0;
    /// Slots assumed to be held by sessions that have not reported.
    std::uint32_t Assumed = 0;
    /// Slots that requests of ended sessions may still occupy.
    std::uint32_t Orphaned = 0;
    instant OrphanedSince{};
    /// Load report that is evaluated once every router has reported after it
    /// was measured.
    std::optional<upstream_load_report> PendingLoadReport{};
    std::uint32_t Running = 0;
    /// Limit as last announced. At a takeover, the newest that a router knows.
    known_limit KnownLimit{};
    instant AnnouncedAt{};
    /// Takeover only: maximum number of slots in use by any announced limit,
    /// and the sum of the slots in the routers' first reports.
    std::uint32_t MaxInUse = 0, InitialHeld = 0;
  };
  struct grant_target {
    node_id Node{};
    upstream_id Upstream{};
  };

  void endSession(router_session &Router, instant Now);
  void initializeSession(router_session &Router, const pool_report &Report,
                         instant Now);
  void importPredecessorState(const pool_report &Report, instant Now);
  void reconcileAssumedSlots(instant Now);
  void recoverVirtualTimes(instant Now);
  void charge(team_id Team, double Cost);
  void acknowledge(router_session &Router, std::uint64_t Applied);
  void applyUsage(router_session &Router, const upstream_usage &Usage,
                  instant Now);
  void countOutcomes(upstream_state &Upstream, const upstream_usage &Before,
                     const upstream_usage &After, instant Now);
  void applyTeam(router_session &Router, const team_usage &Usage,
                 bool ApplyCharges, instant Now);
  void updateDemand(const router_session &Router, team_id Team, instant Now);
  void updateReachable(instant Now);
  void reconcileOrphanedSlots(upstream_state &Upstream, instant Now);
  [[nodiscard]] std::uint32_t minInFlight(upstream_id Upstream, instant From,
                                          instant To) const;
  void advanceLimits(instant Now);
  void announceLimits(instant Now);
  void recallExcess();
  void grantWaiting(instant Now);
  void setContended(bool Value, instant Now);
  void distributeReserve(instant Now);
  void grantSlot(router_session &Router, team_id Team, upstream_id Upstream,
                 instant Now);
  void updateRecentUse();
  void distributeUpstreamReserve(upstream_id Id, upstream_state &Upstream);
  void recordLimitChange(upstream_state &Upstream, std::uint32_t Before,
                         limit_cause Cause);
  void recordBreakerChange(const upstream_state &Upstream);
  [[nodiscard]] std::uint32_t
  effectiveLimit(const upstream_state &Upstream) const;
  [[nodiscard]] std::uint32_t freeSlots(const upstream_state &Upstream) const;
  [[nodiscard]] double domainLoad(const std::string &Domain) const;
  [[nodiscard]] std::optional<grant_target> selectTarget(team_id Team) const;
  [[nodiscard]] std::optional<upstream_id>
  selectUpstream(const session_team &Team) const;
  [[nodiscard]] std::vector<std::pair<node_id, pool_grant>>
  buildGrants(instant Now);

  pool_id Pool;
  epoch Epoch;
  grantor_options Options;
  instant Started;
  std::map<upstream_id, upstream_state> Upstreams;
  std::map<node_id, router_session> Routers;
  /// Waiting requests without a granted slot, by team and node.
  std::map<team_id, std::map<node_id, std::uint32_t>> Demand;
  /// Nodes where a team waits, with or without a granted slot. A team stays
  /// backlogged until the router reports that nothing waits. Otherwise its
  /// virtual time would be raised each time all its requests have a slot.
  std::map<team_id, std::set<node_id>> Backlog;
  std::map<team_id, node_id> LastServed;
  /// Charges that are part of the virtual times: those that live sessions
  /// reported, and provisional ones of unacknowledged grants.
  std::map<team_id, double> ReportedCharges;
  /// Takeover only: largest reported base per team and system virtual time.
  std::map<team_id, std::int64_t> VirtualTimeBases;
  std::int64_t KnownSystemVirtualTime = 0;
  fair_scheduler Scheduler;
  bool Contended = false;
  bool SessionsKnown = false;
  /// False until the virtual times have been recovered from the reports.
  bool VirtualTimesRecovered = false;
  /// True while the backlog of a predecessor is restored.
  bool RestoringBacklog = false;
  /// False until every session known at the start has reported or ended.
  /// Always true for the first epoch.
  bool SessionsReconciled = false;
  std::uint32_t LastLimitVersion = 0;
  instant ContendedChangedAt;
  instant LastWaited, LastDistribution, LastAdvance;
  grantor_decisions PendingDecisions;
};

} // namespace arbutus::pool

template <> struct arbutus::name_table<arbutus::pool::grant_reason> {
  using value = arbutus::pool::grant_reason;
  static constexpr name_row<value> Rows[] = {
      {value::LeastVirtualTime, "least_virtual_time"},
      {value::Reserve, "reserve"},
  };
};

template <> struct arbutus::name_table<arbutus::pool::limit_cause> {
  using value = arbutus::pool::limit_cause;
  static constexpr name_row<value> Rows[] = {
      {value::Growth, "growth"},     {value::Overload, "overload"},
      {value::Cold, "cold"},         {value::Restarted, "restarted"},
      {value::Returned, "returned"}, {value::Resumed, "resumed"},
  };
};

#endif
