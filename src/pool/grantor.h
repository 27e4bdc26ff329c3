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
  /// False while the upstream is leaving or its failure domain is out.
  bool Usable = true;
  std::string FailureDomain;
  /// Requests that must complete before a cold upstream's limit grows.
  std::uint32_t WarmRequests = 0;
};

struct grantor_options {
  /// Time after which unacknowledged entries are sent again.
  duration ResendAfter = 50ms;
  /// Time after which a report is acknowledged if nothing else is sent.
  duration AckDelay = 50ms;
  /// Time without waiting teams before idle credits are handed out again.
  duration CalmBeforeReserve = 20ms;
  /// Time without waiting teams that ends a busy period.
  duration BusyPeriodGap = 1s;
  /// Time between two spreads of the reserve.
  duration ReserveInterval = 100ms;
  /// Time between notices of a limit that rose by a quarter or more; a fall is
  /// told at once.
  duration LimitNoticeInterval = 1s;
  /// Silence after which a router gets no new slots.
  duration RouterSilence = 500ms;
  breaker_options Breaker;
};

enum class grant_reason {
  /// The team had the least virtual time among those that wait.
  LeastVirtualTime,
  /// Nobody waited: idle credits for a router.
  Reserve,
};

struct granted_record {
  grant_reason Reason{};
  std::optional<team_id> Team;
  upstream_id Upstream{};
  node_id Node{};
  std::uint32_t Count = 0;
};

enum class limit_cause { Growth, Overload, Cold, Restarted, Returned, Resumed };

struct limit_record {
  upstream_id Upstream{};
  std::uint32_t OldLimit = 0, NewLimit = 0;
  limit_cause Cause{};
};

struct breaker_record {
  upstream_id Upstream{};
  breaker_state State{};
};

/// What a grantor decided since the last call, for the log.
struct grantor_decisions {
  std::vector<granted_record> Grants;
  std::vector<limit_record> LimitChanges;
  std::vector<breaker_record> BreakerChanges;
  /// Set when the pool turned contended or uncontended.
  std::optional<bool> Contended;
};

struct run_result {
  std::vector<std::pair<node_id, pool_grant>> Grants;
  grantor_decisions Decisions;
};

/// Grants the slots of one pool in fair order, for one epoch. Callers hold a
/// lock. The sum of slots that routers hold on an upstream, counted from their
/// reports and the grants on the way, never grows beyond its limit.
class grantor {
public:
  grantor(pool_id Pool, epoch Epoch, grantor_options Options, instant Now);

  void setUpstreams(const std::vector<upstream_config> &List, instant Now);
  void setTeamWeights(const std::vector<std::pair<team_id, double>> &Weights);
  /// Sets the sessions. A known session that is missing counts as ended. Call
  /// it before the first `run`; every listed session that has not reported is
  /// assumed to hold what the others have not reported.
  void setRouterSessions(const std::vector<session_info> &List, instant Now);

  /// Applies a report; ignores one of another epoch, an older session or an
  /// older sequence.
  void onReport(node_id Node, incarnation Incarnation,
                const pool_report &Report, instant Now);
  void onLoadReport(upstream_id Upstream, const upstream_load_report &Report,
                    instant Now);

  /// Takes all decisions that are due and returns one frame per router that
  /// needs one.
  [[nodiscard]] run_result run(instant Now);

  /// Slots of an upstream that are or may be in use: held, on the way, left
  /// by ended sessions or assumed.
  [[nodiscard]] std::uint32_t occupied(upstream_id Upstream) const;
  /// Part of these that no session known to live holds.
  [[nodiscard]] std::uint32_t unaccounted(upstream_id Upstream) const;
  /// Slots that may be in use at most, after breaker and usability.
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
    /// Slots of reported routers, with grants on the way.
    std::uint32_t Held = 0;
    /// Slots assumed to be held by sessions that have not reported.
    std::uint32_t Assumed = 0;
    /// Slots that ended sessions may still occupy.
    std::uint32_t Left = 0;
    instant LeftSince{};
    /// Waits until every router has been heard after its measurement.
    std::optional<upstream_load_report> Load{};
    std::uint32_t Running = 0;
    /// Newest notice of the limit; on takeover, the newest that a router knew.
    known_limit Known{};
    instant NoticedAt{};
    /// Takeover only: most slots in use by any notice, and the sum of what the
    /// routers held when they reported first.
    std::uint32_t MostInUse = 0, FirstHeld = 0;
  };
  struct choice {
    node_id Node{};
    upstream_id Upstream{};
  };

  void endSession(router_session &Router, instant Now);
  void welcome(router_session &Router, const pool_report &Report, instant Now);
  void takeOver(const pool_report &Report, instant Now);
  void settleAssumed(instant Now);
  void gather(instant Now);
  void charge(team_id Team, double Cost);
  void acknowledge(router_session &Router, std::uint64_t Applied);
  void applyUsage(router_session &Router, const upstream_usage &Usage,
                  instant Now);
  void countOutcomes(upstream_state &Upstream, const upstream_usage &Before,
                     const upstream_usage &After, instant Now);
  void applyTeam(router_session &Router, const team_usage &Usage, bool Charges,
                 instant Now);
  void updateDemand(const router_session &Router, team_id Team, instant Now);
  void updateReachable(instant Now);
  void settleLeft(upstream_state &Upstream, instant Now);
  [[nodiscard]] std::uint32_t leastInFlight(upstream_id Upstream, instant From,
                                            instant To) const;
  void advanceLimits(instant Now);
  void noticeLimits(instant Now);
  void recallExcess();
  void grantWaiting(instant Now);
  void setContended(bool Value, instant Now);
  void spreadReserve(instant Now);
  void grantSlot(router_session &Router, team_id Team, upstream_id Upstream,
                 instant Now);
  void updateRecentUse();
  void spread(upstream_id Id, upstream_state &Upstream);
  void noteLimit(upstream_state &Upstream, std::uint32_t Before,
                 limit_cause Cause);
  void noteBreaker(const upstream_state &Upstream);
  [[nodiscard]] std::uint32_t
  effectiveLimit(const upstream_state &Upstream) const;
  [[nodiscard]] std::uint32_t free(const upstream_state &Upstream) const;
  [[nodiscard]] double domainLoad(const std::string &Domain) const;
  [[nodiscard]] std::optional<choice> choose(team_id Team) const;
  [[nodiscard]] std::optional<upstream_id>
  bestUpstream(const session_team &Team) const;
  [[nodiscard]] std::vector<std::pair<node_id, pool_grant>> frames(instant Now);

  pool_id Pool;
  epoch Epoch;
  grantor_options Options;
  instant Started;
  std::map<upstream_id, upstream_state> Upstreams;
  std::map<node_id, router_session> Routers;
  /// Requests that wait without a slot on the way, by team and node.
  std::map<team_id, std::map<node_id, std::uint32_t>> Demand;
  /// Nodes where a team waits, with or without a slot on the way. A team with
  /// all its slots on the way stays backlogged until the router says that
  /// nothing waits, otherwise it loses its credit at each such moment.
  std::map<team_id, std::set<node_id>> Backlog;
  std::map<team_id, node_id> LastServed;
  /// Charges within the virtual times that live sessions report, or that wait
  /// for their report.
  std::map<team_id, double> Reported;
  /// Takeover only: largest known base per team, and system time.
  std::map<team_id, std::int64_t> Bases;
  std::int64_t KnownSystemTime = 0;
  fair_scheduler Order;
  bool Contended = false;
  bool MembersKnown = false;
  /// False until the live sessions have told what the virtual times are.
  bool Gathered = false;
  /// True while the backlog of a predecessor is taken over.
  bool Restoring = false;
  /// False until every session known at the start has reported or ended.
  bool Settled = false;
  std::uint32_t LastNotice = 0;
  instant ModeSince;
  instant LastWaited, LastSpread, LastAdvance;
  grantor_decisions Pending;
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
