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

/// Instructs the caller to send a request to an upstream now.
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
  std::uint32_t QueueLength = 0;
};

struct router_scheduler_options {
  /// Requests of one team that may wait at this router.
  std::uint32_t MaxQueuedPerTeam = 256;
  /// Minimum time between two reports. It batches the changes of a burst.
  duration BatchWindow = 1ms;
  /// Maximum time between two reports.
  duration ReportInterval = 100ms;
  /// Maximum time between two reports while contended and requests run. Older
  /// streamed costs increase the gap in service between teams: at 24 routers
  /// it is on average 1.19 times that of a central scheduler with 100 ms, and
  /// 1.06 times with 20 ms.
  duration ContendedReportInterval = 40ms;
  /// Delay after which applied entries are acknowledged if nothing else is
  /// reported. Below the time after which the grantor resends them.
  duration AckDelay = 20ms;
  /// Age of an unacknowledged report after which freed slots are withheld.
  /// Above the delay of the grantor's acknowledgements.
  duration GrantorTimeout = 100ms;
};

/// Router side of one pool: idle slots, requests in flight, a queue per team,
/// the grantor's epoch and the session lease. Not thread-safe.
class router_scheduler {
public:
  router_scheduler(pool_id Pool, incarnation Incarnation,
                   router_scheduler_options Options = {});

  /// Queues a request, or dispatches it at once if there is an idle slot for
  /// it. Fails when the team's queue is full, the id is in use, the deadline
  /// has passed or the lease has ended.
  [[nodiscard]] result<std::optional<dispatch_decision>, admission_error>
  enqueue(pending_request Request, instant Now);

  /// Removes a waiting request. Returns false if it is not queued; a request
  /// in flight ends with `complete(..., Cancelled, ...)`.
  bool cancel(std::uint64_t RequestId);

  /// Applies a grant. Ignores one of another node, epoch or session.
  [[nodiscard]] std::vector<dispatch_decision>
  onGrant(node_id From, const pool_grant &Grant, instant Now);

  /// Records the cost streamed so far.
  void updateCost(std::uint64_t RequestId, double CostSoFar);

  /// Ends a request in flight. Its slot is reused for a waiting request,
  /// retained or released. `FirstTokenTime` is the time from dispatch to the
  /// first token.
  [[nodiscard]] std::vector<dispatch_decision>
  complete(std::uint64_t RequestId, double TotalCost, request_outcome Outcome,
           std::optional<duration> FirstTokenTime, instant Now);

  /// Removes and returns waiting requests whose deadline has passed.
  [[nodiscard]] std::vector<std::uint64_t> expireWaiting(instant Now);

  /// Switches to a new grantor. Ignores an epoch that is not higher.
  void setGrantor(epoch Epoch, node_id Grantor);
  /// Starts a new session after the old one ended. Drops the idle slots;
  /// requests in flight stay counted.
  void startSession(incarnation Incarnation);
  /// Sets the end of the lease; nothing is dispatched at or after it. Returns
  /// the waiting requests that an extended lease allows to dispatch.
  [[nodiscard]] std::vector<dispatch_decision> setLease(instant Until,
                                                        instant Now);
  /// Sets the upstreams that may be used. Releases idle slots on others.
  void setUsableUpstreams(std::vector<upstream_id> Upstreams);
  /// Sets the weights for the order in which waiting requests use idle slots.
  void setTeamWeights(const std::vector<std::pair<team_id, double>> &Weights);

  /// True when `buildReport` should be called and its result sent.
  [[nodiscard]] bool isReportDue(instant Now) const;
  /// Time at which a report is due if nothing changes before.
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
    /// Slots freed while the grantor did not respond. They count as held but
    /// stay unused, so that the next grantor can grant them at once. A slot
    /// released to a lost grantor is usable only after the session of that
    /// grantor's node has ended.
    std::uint32_t Withheld = 0;
    /// Number of held slots up to which freed ones are retained while
    /// uncontended.
    std::uint32_t RetainLimit = 0;
    known_limit KnownLimit;
    upstream_usage Usage;
    /// Minimum in flight since the last report.
    std::uint32_t MinInFlight = 0;
    /// Sequence of the first report with the newest change.
    std::uint64_t ChangedInReport = 0;
  };
  struct team_state {
    team_queue Queue;
    /// Last known base of the team's virtual time.
    std::int64_t Base = 0;
    /// Cost charged in this session, and the part in acknowledged reports.
    double Charged = 0, AcknowledgedCharge = 0;
    /// Queue length known to the grantor: last reported minus granted since.
    std::uint32_t WaitingKnownToGrantor = 0;
    std::uint64_t ChangedInReport = 0;
  };
  struct running_request {
    team_id Team{};
    upstream_id Upstream{};
    double Charged = 0;
  };

  void charge(team_id Team, double Cost);
  void markChanged(std::uint64_t &ChangedInReport) const {
    ChangedInReport = Sequence + 1;
  }
  void updateBacklog(team_id Id, team_state &Team);
  void releaseIdleSlots(upstream_state &Upstream);
  void releaseWithheld();
  [[nodiscard]] bool isGrantorUnresponsive(instant Now) const;
  void applyEntry(const grant_entry &Entry, instant Now,
                  std::vector<dispatch_decision> &Out);
  void dispatchQueued(const pending_request &Request, upstream_id Upstream,
                      std::vector<dispatch_decision> &Out);
  void recordDispatch(const pending_request &Request, upstream_id Upstream);
  void dispatchToIdleSlots(instant Now, std::vector<dispatch_decision> &Out);
  void resetReportState();
  void acknowledge(std::uint64_t AcknowledgedReport);
  void appendTeamUsage(team_id Id, const team_state &Team,
                       pool_report &Report) const;
  [[nodiscard]] std::optional<upstream_id>
  selectIdleUpstream(const pending_request &Request) const;

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
  fair_scheduler LocalScheduler;

  std::uint64_t Sequence = 0, LastAcknowledgedReport = 0, LastAppliedEntry = 0;
  std::uint64_t LastReportedEntry = 0;
  std::int64_t SystemVirtualTime = 0;
  /// Charges in reports that are not acknowledged, by sequence.
  std::map<std::uint64_t, std::vector<std::pair<team_id, double>>>
      UnacknowledgedCharges;
  instant LastReport, LastAppliedAt;
  /// Time of the oldest report that waits for an acknowledgement.
  std::optional<instant> UnacknowledgedSince;
  /// Requests a report as soon as `BatchWindow` allows.
  bool ReportRequested = true;
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
