#include "router/pool_dispatcher.h"

#include "base/clock.h"
#include <asio/post.hpp>

#include <algorithm>
#include <limits>

namespace arbutus::router {

pool::router_scheduler_options pool_dispatcher::schedulerOptions() {
  pool::router_scheduler_options Options;
  // `enqueue` checks the configured limit of the team instead.
  Options.MaxQueuedPerTeam = std::numeric_limits<std::uint32_t>::max();
  return Options;
}

pool_dispatcher::pool_dispatcher(incarnation Incarnation,
                                 std::function<void()> OnReportDue)
    : Incarnation(Incarnation), OnReportDue(std::move(OnReportDue)),
      Pools(std::make_unique<pool_map>()) {}

result<std::optional<upstream_id>, pool::admission_error>
pool_dispatcher::enqueue(pool_id Pool, pool::pending_request Request,
                         std::uint32_t TeamQueueLimit, shard &Shard,
                         dispatch_callbacks Callbacks) {
  const auto Entry = find(Pool);
  if (!Entry) {
    return pool::admission_error{pool::admission_error_code::LeaseEnded, 0};
  }
  const instant Now = monotonic_clock::now();
  const std::uint64_t Id = Request.RequestId;
  const std::lock_guard Lock(Entry->Mutex);
  const std::uint32_t Waiting = Entry->Scheduler.waiting(Request.Team);
  if (Waiting >= TeamQueueLimit) {
    return pool::admission_error{pool::admission_error_code::TeamQueueFull,
                                 Waiting};
  }
  auto Outcome = Entry->Scheduler.enqueue(std::move(Request), Now);
  if (Outcome.has_error()) {
    return Outcome.error();
  }
  if (!Outcome.value()) {
    Entry->Waiters.emplace(Id, waiter{&Shard, std::move(Callbacks)});
  }
  requestReportIfDue(*Entry, Now);
  if (!Outcome.value()) {
    return std::optional<upstream_id>();
  }
  return std::optional<upstream_id>(Outcome.value()->Upstream);
}

bool pool_dispatcher::cancel(pool_id Pool, std::uint64_t RequestId) {
  const auto Entry = find(Pool);
  if (!Entry) {
    return false;
  }
  const std::lock_guard Lock(Entry->Mutex);
  if (!Entry->Scheduler.cancel(RequestId)) {
    return false;
  }
  Entry->Waiters.erase(RequestId);
  requestReportIfDue(*Entry, monotonic_clock::now());
  return true;
}

void pool_dispatcher::complete(pool_id Pool, std::uint64_t RequestId,
                               double TotalCost, pool::request_outcome Outcome,
                               std::optional<duration> FirstTokenTime) {
  const auto Entry = find(Pool);
  if (!Entry) {
    return;
  }
  const instant Now = monotonic_clock::now();
  const std::lock_guard Lock(Entry->Mutex);
  notifyDispatched(*Entry,
                   Entry->Scheduler.complete(RequestId, TotalCost, Outcome,
                                             FirstTokenTime, Now));
  requestReportIfDue(*Entry, Now);
}

void pool_dispatcher::updateCost(pool_id Pool, std::uint64_t RequestId,
                                 double CostSoFar) {
  if (const auto Entry = find(Pool)) {
    const std::lock_guard Lock(Entry->Mutex);
    Entry->Scheduler.updateCost(RequestId, CostSoFar);
  }
}

void pool_dispatcher::configure(const store::config_view &View) {
  pool_map Next;
  for (const auto &Service : View.services()) {
    auto Entry = find(Service.Pool);
    if (!Entry) {
      Entry = std::make_shared<pool_entry>(Service.Pool, Incarnation);
    }
    Next.emplace(Service.Pool, std::move(Entry));
  }
  const auto Same =
      Pools.read([&](const pool_map &Old) { return Old == Next; });
  if (!Same) {
    Pools.replace(std::make_unique<pool_map>(Next));
  }
  const instant Now = monotonic_clock::now();
  for (const auto &Service : View.services()) {
    auto &Entry = *Next.at(Service.Pool);
    std::vector<upstream_id> Usable;
    for (const auto &Member : Service.Members) {
      if (Member.Usable) {
        Usable.push_back(Member.Id);
      }
    }
    std::vector<std::pair<team_id, double>> Weights;
    for (const auto &Team : View.teams()) {
      if (Team.mayUse(Service.Name)) {
        Weights.emplace_back(Team.Id, Team.Spec->Weight);
      }
    }
    const std::lock_guard Lock(Entry.Mutex);
    Entry.Scheduler.setUsableUpstreams(std::move(Usable));
    Entry.Scheduler.setTeamWeights(Weights);
    if (number(Service.Epoch) != 0) {
      Entry.Scheduler.setGrantor(Service.Epoch, Service.Grantor);
    }
    notifyDispatched(Entry, Entry.Scheduler.setLease(LeaseUntil, Now));
  }
}

void pool_dispatcher::setLease(instant Until) {
  LeaseUntil = Until;
  const instant Now = monotonic_clock::now();
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    notifyDispatched(*Entry, Entry->Scheduler.setLease(Until, Now));
  }
}

void pool_dispatcher::startSession(incarnation NewIncarnation) {
  Incarnation = NewIncarnation;
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    Entry->Scheduler.startSession(NewIncarnation);
  }
}

void pool_dispatcher::onGrant(node_id From, pool_id Pool,
                              const pool::pool_grant &Grant) {
  if (const auto Entry = find(Pool)) {
    const instant Now = monotonic_clock::now();
    const std::lock_guard Lock(Entry->Mutex);
    notifyDispatched(*Entry, Entry->Scheduler.onGrant(From, Grant, Now));
  }
}

std::vector<outgoing_report> pool_dispatcher::collectReports() {
  std::vector<outgoing_report> Reports;
  const instant Now = monotonic_clock::now();
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    if (number(Entry->Scheduler.currentEpoch()) != 0 &&
        Entry->Scheduler.isReportDue(Now)) {
      Entry->ReportRequested = false;
      Reports.push_back({Entry->Scheduler.pool(),
                         Entry->Scheduler.grantorNode(),
                         Entry->Scheduler.buildReport(Now)});
    }
  }
  return Reports;
}

instant pool_dispatcher::nextReportTime() const {
  instant Next = instant::max();
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    if (number(Entry->Scheduler.currentEpoch()) != 0) {
      Next = std::min(Next, Entry->Scheduler.nextReportTime());
    }
  }
  return Next;
}

void pool_dispatcher::expireWaiting() {
  const instant Now = monotonic_clock::now();
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    for (const std::uint64_t Id : Entry->Scheduler.expireWaiting(Now)) {
      const auto It = Entry->Waiters.find(Id);
      if (It != Entry->Waiters.end()) {
        asio::post(It->second.Shard->Io,
                   std::move(It->second.Callbacks.OnExpired));
        Entry->Waiters.erase(It);
      }
    }
  }
}

std::uint64_t pool_dispatcher::waiting() const {
  std::uint64_t Sum = 0;
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    Sum += Entry->Scheduler.waiting();
  }
  return Sum;
}

std::uint64_t pool_dispatcher::inFlight() const {
  std::uint64_t Sum = 0;
  for (const auto &Entry : allPools()) {
    const std::lock_guard Lock(Entry->Mutex);
    Sum += Entry->Scheduler.inFlight();
  }
  return Sum;
}

std::shared_ptr<pool_dispatcher::pool_entry>
pool_dispatcher::find(pool_id Pool) const {
  return Pools.read([&](const pool_map &Map) {
    const auto It = Map.find(Pool);
    return It == Map.end() ? nullptr : It->second;
  });
}

std::vector<std::shared_ptr<pool_dispatcher::pool_entry>>
pool_dispatcher::allPools() const {
  return Pools.read([](const pool_map &Map) {
    std::vector<std::shared_ptr<pool_entry>> Dispatches;
    for (const auto &[Pool, Entry] : Map) {
      Dispatches.push_back(Entry);
    }
    return Dispatches;
  });
}

void pool_dispatcher::notifyDispatched(
    pool_entry &Entry, const std::vector<pool::dispatch_decision> &Dispatches) {
  for (const auto &Dispatch : Dispatches) {
    const auto It = Entry.Waiters.find(Dispatch.RequestId);
    if (It == Entry.Waiters.end()) {
      continue;
    }
    asio::post(It->second.Shard->Io,
               [Callback = std::move(It->second.Callbacks.OnDispatch),
                Upstream = Dispatch.Upstream] { Callback(Upstream); });
    Entry.Waiters.erase(It);
  }
}

void pool_dispatcher::requestReportIfDue(pool_entry &Entry, instant Now) {
  // The scheduler delays a report by 1 ms to batch changes; the control thread
  // waits for that time.
  static constexpr duration ReportLookahead = 2ms;
  if (!Entry.ReportRequested &&
      Entry.Scheduler.nextReportTime() <= Now + ReportLookahead) {
    Entry.ReportRequested = true;
    OnReportDue();
  }
}

} // namespace arbutus::router
