#include "base/codec.h"
#include "pool/pool.h"
#include <catch2/catch.hpp>

#include <numeric>

using namespace arbutus;
using namespace arbutus::pool;

namespace {

constexpr team_id A{1}, B{2}, C{3};
constexpr upstream_id U{1}, V{2};
constexpr node_id Grantor{9};

instant at(duration Time) { return instant{} + 1s + Time; }

pending_request request(std::uint64_t Id, team_id Team = A) {
  return {Id, Team, 10, {}, {}, at(1h)};
}

/// A scheduler in epoch 1 with a lease and both upstreams usable.
router_scheduler makeScheduler(router_scheduler_options Options = {}) {
  router_scheduler Scheduler(pool_id{1}, incarnation{7}, Options);
  Scheduler.setGrantor(epoch{1}, Grantor);
  Scheduler.setUsableUpstreams({U, V});
  (void)Scheduler.setLease(at(10s), at(0s));
  return Scheduler;
}

grant_entry slots(upstream_id Upstream, team_id Team, std::uint32_t Count) {
  auto Entry = makeEntry(entry_kind::Slots, Upstream, Count);
  Entry.Team = number(Team);
  return Entry;
}

pool_grant makeGrant(std::uint64_t First, std::vector<grant_entry> Entries,
                     std::uint64_t AcknowledgedReport = 0) {
  pool_grant Grant;
  Grant.Epoch = 1;
  Grant.Session = 7;
  Grant.FirstEntry = First;
  Grant.AcknowledgedReport = AcknowledgedReport;
  Grant.Entries = std::move(Entries);
  return Grant;
}

std::vector<std::uint64_t> ids(const std::vector<dispatch_decision> &List) {
  std::vector<std::uint64_t> Ids;
  Ids.reserve(List.size());
  for (const auto &Item : List) {
    Ids.push_back(Item.RequestId);
  }
  return Ids;
}

using id_list = std::vector<std::uint64_t>;

pool_report report(std::uint64_t Sequence, std::uint32_t Held,
                   std::uint32_t Waiting, std::uint64_t Applied = 0,
                   std::uint64_t Epoch = 1) {
  pool_report Report;
  Report.Epoch = Epoch;
  Report.Session = 7;
  Report.Sequence = Sequence;
  Report.Full = Sequence == 1;
  Report.AppliedEntry = Applied;
  upstream_usage Usage;
  Usage.Upstream = number(U);
  Usage.Held = Held;
  Usage.MinInFlight = Held;
  Report.Upstreams = {Usage};
  team_usage Team;
  Team.Team = number(A);
  Team.Waiting = Waiting;
  Team.MeanEstimatedCost = 10;
  Report.Teams = {Team};
  return Report;
}

std::vector<session_info> sessions(std::uint32_t Count,
                                   session_state First = session_state::Live) {
  std::vector<session_info> List;
  List.reserve(Count);
  for (std::uint32_t N = 1; N <= Count; ++N) {
    List.push_back(
        {node_id{N}, incarnation{7}, N == 1 ? First : session_state::Live});
  }
  return List;
}

grantor makeGrantor(std::uint64_t Epoch, std::uint32_t Sessions,
                    std::uint32_t Limit = 4) {
  grantor Grantor(pool_id{1}, epoch{Epoch}, {}, at(0s));
  Grantor.setUpstreams({{U, Limit, Limit, 1, true, "x"}}, at(0s));
  Grantor.setRouterSessions(sessions(Sessions), at(0s));
  return Grantor;
}

std::uint32_t granted(const run_result &Result) {
  std::uint32_t Count = 0;
  for (const auto &Item : Result.Decisions.Grants) {
    Count += Item.Count;
  }
  return Count;
}

} // namespace

// Guards against a wrong order of teams and against an advantage from being
// idle.
TEST_CASE("fair order") {
  fair_scheduler Scheduler;
  const auto Any = [](team_id) { return true; };
  Scheduler.setWeight(B, 2);
  Scheduler.setBacklogged(A, true);
  Scheduler.setBacklogged(B, true);
  Scheduler.charge(A, 100);
  Scheduler.charge(B, 150);
  CHECK(Scheduler.virtualTime(B) == 75);
  CHECK(Scheduler.selectTeam(Any) == B);
  CHECK(Scheduler.selectTeam([](team_id Team) { return Team != B; }) == A);
  Scheduler.setBacklogged(C, true);
  CHECK(Scheduler.virtualTime(C) == 75);
  Scheduler.charge(A, -60);
  CHECK(Scheduler.selectTeam(Any) == A);
  Scheduler.startBusyPeriod();
  CHECK(Scheduler.virtualTime(A) == Scheduler.virtualTime(B));
}

// Guards against a limit that grows without use, too fast or beyond the
// maximum, or that does not fall on overload, restart or slow first tokens.
TEST_CASE("upstream limit") {
  struct row {
    const char *Name;
    std::function<void(upstream_limit &)> Act;
    std::uint32_t Expected;
  };
  const auto Use = [](upstream_limit &Limit, duration From, duration Until) {
    for (auto Time = From; Time <= Until; Time += 100ms) {
      Limit.advance(Limit.limit(), at(Time));
    }
  };
  const auto Load = [](std::uint64_t Incarnation, std::uint32_t Waiting) {
    return upstream_load_report{incarnation{Incarnation}, 4, Waiting, at(5s),
                                0s};
  };
  const std::vector<row> Rows = {
      {"unused", [](auto &L) { L.advance(0, at(5s)); }, 2},
      {"late call", [](auto &L) { L.advance(2, at(5s)); }, 2},
      {"used for 3.2 s", [&](auto &L) { Use(L, 0s, 3200ms); }, 5},
      {"maximum", [&](auto &L) { Use(L, 0s, 60s); }, 10},
      {"overload",
       [&](auto &L) {
         Use(L, 0s, 60s);
         L.onOverload(at(61s));
         L.onOverload(at(61100ms)); // The same overload.
       },
       7},
      {"slower after an overload",
       [&](auto &L) {
         Use(L, 0s, 60s);
         L.onOverload(at(60s));
         Use(L, 61s, 65s);
       },
       8},
      {"restart",
       [&](auto &L) {
         Use(L, 0s, 8s);
         CHECK(!L.onLoad(Load(1, 0), at(8s)));
         CHECK(L.onLoad(Load(2, 0), at(9s)));
       },
       2},
      {"queue in the engine",
       [&](auto &L) {
         Use(L, 0s, 60s);
         CHECK(!L.onLoad(Load(1, 5), at(60s)));
       },
       7},
      {"slow first tokens",
       [&](auto &L) {
         Use(L, 0s, 60s);
         CHECK(!L.onFirstTokens(40, 4000, at(60s)));
         CHECK(!L.onFirstTokens(1, 900, at(61s)));
         CHECK(L.onFirstTokens(5, 4500, at(62s)));
       },
       2},
  };
  for (const auto &Row : Rows) {
    INFO(Row.Name);
    upstream_limit Limit({10, 2, 1}, at(0s));
    Row.Act(Limit);
    CHECK(Limit.limit() == Row.Expected);
  }
}

// Guards against a breaker that opens on single failures, stays closed on
// many, or allows more than one request at a time while half open.
TEST_CASE("circuit breaker") {
  circuit_breaker Breaker;
  CHECK(!Breaker.recordOutcomes(0, 4, at(0s)));
  CHECK(!Breaker.recordOutcomes(
      0, 4, at(2s))); // The first four are outside the window.
  CHECK(!Breaker.recordOutcomes(10, 1, at(2s)));
  CHECK(Breaker.recordOutcomes(0, 5, at(2500ms)));
  CHECK(Breaker.effectiveLimit(8) == 0);
  CHECK(!Breaker.advance(at(4s)));
  CHECK(Breaker.advance(at(4500ms)));
  CHECK(Breaker.effectiveLimit(8) == 1);
  CHECK(Breaker.recordOutcomes(0, 1, at(5s)));
  CHECK(!Breaker.advance(at(8s))); // The open time has doubled.
  CHECK(Breaker.advance(at(9s)));
  CHECK(!Breaker.recordOutcomes(2, 0, at(9s)));
  CHECK(Breaker.recordOutcomes(1, 0, at(9s)));
  CHECK(Breaker.effectiveLimit(8) == 8);
}

// Guards against dispatch without a slot or lease, and against lost requests.
TEST_CASE("router scheduler: admission and lease") {
  auto Scheduler = makeScheduler({2});
  CHECK(!Scheduler.enqueue(request(1), at(0s)).value());
  CHECK(Scheduler.enqueue(request(1), at(0s)).error().Code ==
        admission_error_code::DuplicateRequest);
  CHECK(!Scheduler.enqueue(request(2), at(0s)).value());
  CHECK(Scheduler.enqueue(request(3), at(0s)).error().Code ==
        admission_error_code::TeamQueueFull);
  auto Late = request(4, B);
  Late.Deadline = at(0s);
  CHECK(Scheduler.enqueue(Late, at(0s)).error().Code ==
        admission_error_code::DeadlinePassed);
  CHECK(Scheduler.cancel(2));
  CHECK(!Scheduler.cancel(2));
  CHECK(Scheduler.onGrant(Grantor, makeGrant(1, {slots(U, A, 1)}), at(10s))
            .empty());
  CHECK(Scheduler.enqueue(request(5), at(10s)).error().Code ==
        admission_error_code::LeaseEnded);
  CHECK(Scheduler.expireWaiting(at(2h)) == id_list{1});
  CHECK(Scheduler.waiting() == 0);
}

// Guards against grants applied twice, out of order, or from a wrong sender.
TEST_CASE("router scheduler: grants") {
  auto Scheduler = makeScheduler();
  for (std::uint64_t Id = 1; Id <= 4; ++Id) {
    (void)Scheduler.enqueue(request(Id), at(0s));
  }
  const auto First = makeGrant(1, {slots(U, A, 1)});
  CHECK(Scheduler.onGrant(node_id{8}, First, at(0s)).empty());
  auto Old = First;
  Old.Epoch = 0;
  CHECK(Scheduler.onGrant(Grantor, Old, at(0s)).empty());
  Old = First;
  Old.Session = 6;
  CHECK(Scheduler.onGrant(Grantor, Old, at(0s)).empty());
  const auto Third = makeGrant(3, {slots(U, A, 1)});
  CHECK(Scheduler.onGrant(Grantor, Third, at(0s)).empty());
  CHECK(ids(Scheduler.onGrant(Grantor, First, at(0s))) == id_list{1});
  CHECK(Scheduler.onGrant(Grantor, First, at(0s)).empty());
  const auto Both = makeGrant(1, {slots(U, A, 1), slots(V, A, 2)});
  CHECK(ids(Scheduler.onGrant(Grantor, Both, at(0s))) == id_list{2, 3});
  CHECK(Scheduler.inFlight(V) == 2);
}

// Guards against idle slots retained while contended, and released while
// uncontended.
TEST_CASE("router scheduler: idle slots") {
  auto Scheduler = makeScheduler();
  (void)Scheduler.onGrant(
      Grantor, makeGrant(1, {makeEntry(entry_kind::Reserve, U, 2)}), at(0s));
  CHECK(Scheduler.idleSlots(U) == 2);
  CHECK(Scheduler.enqueue(request(1), at(0s)).value()->Upstream == U);
  CHECK(Scheduler.complete(1, 10, request_outcome::Ok, {}, at(1s)).empty());
  CHECK(Scheduler.idleSlots(U) == 2);
  CHECK(Scheduler.enqueue(request(2), at(1s)).value());
  CHECK(!Scheduler.enqueue(request(3, B), at(10s)));
  (void)Scheduler.onGrant(
      Grantor, makeGrant(2, {makeEntry(entry_kind::Contended)}), at(1s));
  CHECK(Scheduler.idleSlots(U) == 0);
  (void)Scheduler.complete(2, 10, request_outcome::Ok, {}, at(2s));
  CHECK(Scheduler.idleSlots(U) == 0);
  CHECK(Scheduler.buildReport(at(2s)).Upstreams[0].Held == 0);
  (void)Scheduler.onGrant(Grantor,
                          makeGrant(3, {makeEntry(entry_kind::Uncontended),
                                        makeEntry(entry_kind::Reserve, V, 1)}),
                          at(3s));
  Scheduler.setUsableUpstreams({U});
  CHECK(Scheduler.idleSlots(V) == 0);
}

// Guards against requests sent to excluded upstreams, and against requests
// with a preference that starve the head of the queue.
TEST_CASE("router scheduler: matching requests to upstreams") {
  auto Scheduler = makeScheduler();
  auto Excluding = request(1);
  Excluding.Excluded = {U};
  (void)Scheduler.enqueue(Excluding, at(0s));
  (void)Scheduler.enqueue(request(2), at(0s));
  auto Preferring = request(3);
  Preferring.Preferred = U;
  (void)Scheduler.enqueue(Preferring, at(0s));
  std::uint64_t Number = 1;
  const auto Grant = [&](upstream_id Upstream) {
    return ids(Scheduler.onGrant(
        Grantor, makeGrant(Number++, {slots(Upstream, A, 1)}), at(0s)));
  };
  CHECK(Grant(U) == id_list{3});
  for (std::uint64_t Id = 4; Id < 12; ++Id) {
    Preferring.RequestId = Id;
    (void)Scheduler.enqueue(Preferring, at(0s));
  }
  for (std::uint64_t Id = 4; Id < 11; ++Id) {
    CHECK(Grant(U) == id_list{Id});
  }
  CHECK(Grant(U) == id_list{2}); // Overtaken eight times.
  CHECK(Grant(U) == id_list{11});
  CHECK(Grant(U).empty());
  CHECK(Scheduler.buildReport(at(0s)).Teams[0].ExcludedUpstreams ==
        std::vector<std::uint32_t>{number(U)});
  CHECK(Grant(V) == id_list{1});
}

// Guards against reports that are late, too frequent or miss a change.
TEST_CASE("router scheduler: reports") {
  auto Scheduler = makeScheduler();
  CHECK(Scheduler.isReportDue(at(0s)));
  CHECK(Scheduler.buildReport(at(0s)).Full);
  CHECK(!Scheduler.isReportDue(at(99ms)));
  CHECK(Scheduler.isReportDue(at(100ms)));
  (void)Scheduler.buildReport(at(100ms));
  (void)Scheduler.enqueue(request(1), at(100ms));
  CHECK(!Scheduler.isReportDue(at(100500us)));
  CHECK(Scheduler.isReportDue(at(101ms)));
  CHECK(Scheduler.buildReport(at(101ms)).Teams[0].Waiting == 1);
  (void)Scheduler.onGrant(Grantor, makeGrant(1, {}, 3), at(102ms));
  auto Report = Scheduler.buildReport(at(103ms));
  CHECK(!Report.Full);
  CHECK(Report.Teams.empty());
  (void)Scheduler.onGrant(Grantor, makeGrant(1, {slots(U, A, 1)}, 3),
                          at(104ms));
  CHECK(Scheduler.isReportDue(at(124ms)));
  // Repeated until acknowledged.
  CHECK(Scheduler.buildReport(at(124ms)).Upstreams[0].Held == 1);
  CHECK(Scheduler.buildReport(at(224ms)).Upstreams[0].Held == 1);
  Scheduler.setGrantor(epoch{2}, node_id{3});
  Report = Scheduler.buildReport(at(225ms));
  CHECK((Report.Full && Report.Sequence == 1 && Report.AppliedEntry == 0));
  CHECK(Report.Upstreams[0].Held == 1);
  const auto Copy = decode<pool_report>(encode(Report)).value();
  CHECK(encode(Copy) == encode(Report));
}

// Guards against grants beyond the limit, in particular after it has fallen.
TEST_CASE("grantor: limits") {
  auto Grantor = makeGrantor(1, 1);
  Grantor.onReport(node_id{1}, incarnation{7}, report(1, 0, 9), at(0s));
  CHECK(granted(Grantor.run(at(0s))) == 4);
  CHECK(granted(Grantor.run(at(0s))) == 0);
  Grantor.setUpstreams({{U, 2, 2, 1, true, "x"}}, at(0s));
  Grantor.onReport(node_id{1}, incarnation{7}, report(2, 2, 5, 1), at(1ms));
  CHECK(granted(Grantor.run(at(1ms))) == 0);
  Grantor.onReport(node_id{1}, incarnation{7}, report(3, 1, 5, 1), at(2ms));
  Grantor.onReport(node_id{1}, incarnation{7}, report(2, 0, 5, 1), at(3ms));
  CHECK(granted(Grantor.run(at(3ms))) == 1); // The late report is ignored.
  CHECK(Grantor.occupied(U) == 2);
}

// Guards against slots granted twice after a router or the grantor is lost.
TEST_CASE("grantor: ended sessions and takeover") {
  const auto Load = [](std::uint32_t Running, duration Measured) {
    return upstream_load_report{incarnation{1}, Running, 0, at(Measured), 50ms};
  };
  auto Grantor = makeGrantor(2, 2);
  Grantor.onReport(node_id{2}, incarnation{7}, report(1, 1, 5, 0, 2), at(0s));
  CHECK(granted(Grantor.run(at(0s))) == 0);
  CHECK(Grantor.occupied(U) == 4); // Node 1 may hold the other three.
  Grantor.onReport(node_id{2}, incarnation{7}, report(2, 0, 5, 0, 2), at(10ms));
  CHECK(granted(Grantor.run(at(300ms))) == 1); // Its own slot is usable.
  Grantor.setRouterSessions(sessions(2, session_state::Ended), at(400ms));
  Grantor.onLoadReport(U, Load(2, 420ms),
                       at(430ms)); // Its age precedes the end of the session.
  Grantor.onReport(node_id{2}, incarnation{7}, report(3, 1, 4, 1, 2),
                   at(440ms));
  CHECK(granted(Grantor.run(at(440ms))) == 0);
  Grantor.onLoadReport(U, Load(2, 500ms), at(510ms));
  (void)Grantor.run(at(510ms));
  Grantor.onReport(node_id{2}, incarnation{7}, report(4, 1, 4, 1, 2),
                   at(530ms));
  // One of the two running requests is reported, so node 1 left at most one.
  CHECK(granted(Grantor.run(at(530ms))) == 2);
  CHECK(Grantor.unconfirmedSlots(U) == 1);
}

// Guards against a reserve above the limit and a recall that is not sent.
TEST_CASE("grantor: reserve and recall") {
  auto Grantor = makeGrantor(1, 3, 16);
  for (std::uint32_t N = 1; N <= 3; ++N) {
    Grantor.onReport(node_id{N}, incarnation{7}, report(1, 0, 0), at(90ms));
  }
  const auto Distribution = Grantor.run(at(100ms));
  CHECK(granted(Distribution) >= 12);
  CHECK(granted(Distribution) <= 14); // An eighth is held back.
  auto Asking = report(2, granted(Distribution) / 3, 9, 2);
  Grantor.onReport(node_id{1}, incarnation{7}, Asking, at(110ms));
  const auto Recall = Grantor.run(at(110ms));
  CHECK(Recall.Decisions.Contended == true);
  CHECK(Recall.Grants.size() == 3);
  CHECK(Grantor.occupied(U) <= 16);
}
