#ifndef ARBUTUS_POOL_ROUTER_SCHEDULER_H
#define ARBUTUS_POOL_ROUTER_SCHEDULER_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"
#include "base/result.h"
#include "pool/fair_scheduler.h"
#include "pool/messages.h"
#include "pool/team_queue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutus::pool {

enum class request_outcome {
  Ok,
  Overloaded,
  Failed,
  ConnectFailed,
  Cancelled,
  TimedOut
};

/// Tells the caller to send a request to an upstream now.
struct dispatch_decision {
  std::uint64_t RequestId = 0;
  upstream_id Upstream{};
};

enum class admission_error_code {
  TeamQueueFull,
  DuplicateRequest,
  DeadlinePassed,
  LeaseEnded
};

struct admission_error {
  admission_error_code Code{};
  std::uint32_t Waiting = 0;
};

struct router_scheduler_options {
  /// Requests of one team that may wait at this router.
  std::uint32_t MaxQueuedPerTeam = 256;
  /// Most frequent reporting; it batches changes of one burst.
  duration BatchWindow = 1ms;
  /// Least frequent reporting.
  duration ReportInterval = 100ms;
  /// Least frequent reporting while contended and requests run. The gap grows
  /// with the age of streamed costs: 1.19 times the naive gap on average with
  /// 100 ms at 24 routers, 1.06 with 20 ms.
  duration ContendedInterval = 40ms;
  /// Delay after which applied entries are acknowledged even if nothing else
  /// is to be reported; below the grantor's time for resending.
  duration AckDelay = 20ms;
  /// Age of an unanswered report after which freed slots are parked.
  /// It is above the grantor's own delay of acknowledgements.
  duration GrantorSilence = 100ms;
};

/// Router side of one pool: idle credits, requests in flight, a queue per team,
/// the epoch and the lease. Callers hold a lock.
class router_scheduler {
public:
  router_scheduler(pool_id Pool, incarnation Incarnation,
                   router_scheduler_options Options = {});

  /// Queues a request, or dispatches it at once if an idle credit fits.
  /// Fails when the team's queue is full, the id is in use or the deadline has
  /// passed, or when the lease has ended.
  [[nodiscard]] result<std::optional<dispatch_decision>, admission_error>
  enqueue(pending_request Request, instant Now);

  /// Removes a waiting request. Returns false if it does not wait; one in
  /// flight ends with `complete(..., Cancelled, ...)`.
  bool cancel(std::uint64_t RequestId);

  /// Applies a grant. Frames of another node, epoch or session are ignored.
  [[nodiscard]] std::vector<dispatch_decision>
  onGrant(node_id From, const pool_grant &Grant, instant Now);

  /// Notes the cost streamed so far.
  void updateCost(std::uint64_t RequestId, double CostSoFar);

  /// Ends a request in flight; its slot goes back or to a waiting request.
  /// `FirstTokenTime` is the time from dispatch to the first token.
  [[nodiscard]] std::vector<dispatch_decision>
  complete(std::uint64_t RequestId, double TotalCost, request_outcome Outcome,
           std::optional<duration> FirstTokenTime, instant Now);

  /// Removes and returns waiting requests whose deadline has passed.
  [[nodiscard]] std::vector<std::uint64_t> expireWaiting(instant Now);

  /// Follows a new grantor. Lower or equal epochs are ignored.
  void setGrantor(epoch Epoch, node_id Grantor);
  /// Starts a new session after the old one ended: idle credits lapse,
  /// requests in flight stay counted.
  void startSession(incarnation Incarnation);
  /// Nothing is dispatched at or after this instant. Returns requests that an
  /// extended lease lets go.
  [[nodiscard]] std::vector<dispatch_decision> setLease(instant Until,
                                                        instant Now);
  /// Sets the upstreams that may be used; idle credits on others go back.
  void setUsableUpstreams(std::vector<upstream_id> Upstreams);
  /// Weights for the local order of requests that use idle credits.
  void setTeamWeights(const std::vector<std::pair<team_id, double>> &Weights);

  /// True when `buildReport` should be called and its result sent.
  [[nodiscard]] bool isReportDue(instant Now) const;
  /// Instant at which a report is due if nothing else happens.
  [[nodiscard]] instant nextReportTime() const;
  [[nodiscard]] pool_report buildReport(instant Now);

  [[nodiscard]] std::uint32_t waiting(team_id Team) const;
  [[nodiscard]] std::uint32_t waiting() const noexcept;
  [[nodiscard]] std::uint32_t inFlight() const noexcept;
  [[nodiscard]] std::uint32_t inFlight(upstream_id Upstream) const;
  [[nodiscard]] std::uint32_t idleSlots(upstream_id Upstream) const;
  [[nodiscard]] node_id grantorNode() const noexcept { return Grantor; }
  [[nodiscard]] epoch currentEpoch() const noexcept { return Epoch; }
  [[nodiscard]] pool_id pool() const noexcept { return Pool; }

private:
  struct upstream_state {
    std::uint32_t Idle = 0, InFlight = 0;
    /// Slots freed while the grantor was silent. They stay held and unused, so
    /// that the next grantor can grant them at once; a slot returned to a lost
    /// grantor is usable only after the end of that node's session.
    std::uint32_t Parked = 0;
    /// Held slots up to which a freed one stays while uncontended.
    std::uint32_t Keep = 0;
    known_limit Known;
    upstream_usage Usage;
    /// Least in flight since the last report.
    std::uint32_t Low = 0;
    /// Sequence of the first report that carries the newest change.
    std::uint64_t ChangedAt = 0;
  };
  struct team_state {
    team_queue Queue;
    /// Last known base of the team's virtual time.
    std::int64_t Base = 0;
    /// Cost charged in this session, and the part that the grantor has seen.
    double Charged = 0, SeenCharged = 0;
    /// What the grantor believes: last reported minus granted since.
    std::uint32_t Believed = 0;
    std::uint64_t ChangedAt = 0;
  };
  struct running_request {
    team_id Team{};
    upstream_id Upstream{};
    double Charged = 0;
  };

  void charge(team_id Team, double Cost);
  void touch(std::uint64_t &ChangedAt) const { ChangedAt = Sequence + 1; }
  void noteBacklog(team_id Id, team_state &Team);
  void returnIdle(upstream_state &Upstream);
  void returnParked();
  [[nodiscard]] bool grantorSilent(instant Now) const;
  void apply(const grant_entry &Entry, instant Now,
             std::vector<dispatch_decision> &Out);
  void start(const pending_request &Request, upstream_id Upstream,
             std::vector<dispatch_decision> &Out);
  void run(const pending_request &Request, upstream_id Upstream);
  void useIdle(instant Now, std::vector<dispatch_decision> &Out);
  void reset();
  void acknowledge(std::uint64_t ReportSeen);
  void listTeam(team_id Id, const team_state &Team, pool_report &Report) const;
  [[nodiscard]] std::optional<upstream_id>
  bestIdle(const pending_request &Request) const;

  pool_id Pool;
  std::uint32_t Session;
  router_scheduler_options Options;
  epoch Epoch{};
  node_id Grantor{};
  instant LeaseUntil;
  bool Contended = false;
  std::set<upstream_id> Usable;
  std::map<upstream_id, upstream_state> Upstreams;
  std::map<team_id, team_state> Teams;
  std::unordered_map<std::uint64_t, running_request> Running;
  std::unordered_map<std::uint64_t, team_id> Waiting;
  std::set<std::pair<instant, std::uint64_t>> Deadlines;
  fair_scheduler LocalOrder;

  std::uint64_t Sequence = 0, Acknowledged = 0, Applied = 0;
  std::uint64_t AppliedReported = 0;
  std::int64_t SystemTime = 0;
  /// Charges in reports that are not acknowledged, by sequence.
  std::map<std::uint64_t, std::vector<std::pair<team_id, double>>> Unseen;
  instant LastReport, AppliedAt;
  /// When the oldest report that is owed an answer was made.
  std::optional<instant> UnansweredSince;
  bool Urgent = true;
};

} // namespace arbutus::pool

template <> struct arbutus::name_table<arbutus::pool::request_outcome> {
  using value = arbutus::pool::request_outcome;
  static constexpr name_row<value> Rows[] = {
      {value::Ok, "ok"},
      {value::Overloaded, "overloaded"},
      {value::Failed, "failed"},
      {value::ConnectFailed, "connect_failed"},
      {value::Cancelled, "cancelled"},
      {value::TimedOut, "timed_out"},
  };
};

template <> struct arbutus::name_table<arbutus::pool::admission_error_code> {
  using value = arbutus::pool::admission_error_code;
  static constexpr name_row<value> Rows[] = {
      {value::TeamQueueFull, "team_queue_full"},
      {value::DuplicateRequest, "duplicate_request"},
      {value::DeadlinePassed, "deadline_passed"},
      {value::LeaseEnded, "lease_ended"},
  };
};

#endif
