#include "balance/request_scheduler.h"
#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <random>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr duration Objective = 300ms;
constexpr duration WaitLimit = 240ms;
constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t Servers = 3;
constexpr double WorkMillis = 60;

/// Answers of a plain service that gets more calls than it can serve.
struct burst_result {
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  duration WorstRefusal = duration::zero();
};

/// Servers with slots and a queue of their own, driven by events in order.
struct plain_service {
  struct server {
    std::uint32_t Running = 0;
    std::queue<std::uint64_t> Queue;
  };

  explicit plain_service(std::uint64_t Seed) : Random(Seed) {}

  void take(std::uint64_t Id, std::uint32_t Server, instant Now) {
    auto &At = All[Server];
    if (At.Running == Slots) {
      At.Queue.push(Id);
      return;
    }
    start(Id, Server, Now);
  }
  void start(std::uint64_t Id, std::uint32_t Server, instant Now) {
    ++All[Server].Running;
    std::lognormal_distribution<double> Work(0, 0.5);
    const auto Micros =
        static_cast<std::int64_t>(1000 * WorkMillis * Work(Random) / 1.13);
    Ends.emplace(Now + duration(Micros), std::pair(Id, Server));
  }
  void end(std::uint32_t Server, instant Now) {
    --All[Server].Running;
    if (!All[Server].Queue.empty()) {
      const auto Next = All[Server].Queue.front();
      All[Server].Queue.pop();
      start(Next, Server, Now);
    }
  }

  std::mt19937_64 Random;
  std::map<std::uint32_t, server> All;
  std::multimap<instant, std::pair<std::uint64_t, std::uint32_t>> Ends;
};

burst_result play(double Load, bool WithObjective, std::uint64_t Seed) {
  constexpr duration Length = 10s;
  constexpr int Teams = 4;
  request_scheduler Pool(Seed);
  std::vector<upstream_info> List(Servers);
  for (std::uint32_t I = 0; I < Servers; ++I) {
    List[I].Id = upstream_id{I + 1};
    List[I].Name = "plain-" + std::to_string(I + 1);
    List[I].Slots = Slots;
  }
  const instant Start(100s);
  Pool.setUpstreams(List, Start);
  plain_service Service(Seed);
  burst_result Result;
  std::map<std::uint64_t, instant> Arrived;
  const double Rate = Load * Slots * Servers / WorkMillis * 1000;
  std::exponential_distribution<double> Gap(Rate / 1e6);
  instant NextArrival = Start;
  std::uint64_t LastId = 0;
  const auto Dispatch = [&](instant Now) {
    for (const auto Id : Pool.expireWaiting(Now)) {
      ++Result.Refused;
      Result.WorstRefusal = std::max(Result.WorstRefusal, Now - Arrived[Id]);
    }
    for (const auto &Ready : Pool.dispatchReady(Now)) {
      Service.take(Ready.RequestId, number(Ready.Upstream), Now);
    }
  };
  while (NextArrival < Start + Length) {
    if (!Service.Ends.empty() && Service.Ends.begin()->first <= NextArrival) {
      const auto [Now, Ended] = *Service.Ends.begin();
      Service.Ends.erase(Service.Ends.begin());
      Service.end(Ended.second, Now);
      Pool.complete(Ended.first, upstream_result::Succeeded, Now);
      ++(Now - Arrived[Ended.first] <= Objective ? Result.InTime : Result.Late);
      Dispatch(Now);
      continue;
    }
    const instant Now = NextArrival;
    NextArrival += duration(static_cast<std::int64_t>(Gap(Service.Random)));
    queued_request Request;
    Request.RequestId = ++LastId;
    Request.Team = team_id{static_cast<std::uint32_t>(1 + LastId % Teams)};
    Request.DispatchDeadline = Now + WaitLimit;
    if (WithObjective) {
      Request.ResponseTarget = Now + Objective;
    }
    Arrived[LastId] = Now;
    if (!Pool.canServeInTime(Request, Now)) {
      ++Result.Refused;
    } else if (const auto Upstream = Pool.enqueue(Request, Now)) {
      Service.take(LastId, number(*Upstream), Now);
    }
    Dispatch(Now);
  }
  return Result;
}

} // namespace

// Pattern: a burst on a plain service. Guards against a queue that lets every
// call wait so long that its answer comes just too late: the naive limit, a
// fixed part of the objective, knows nothing of the time that answers take.
TEST_CASE("calls that wait are still answered within their objective") {
  for (const double Load : {1.2, 1.5, 2.5}) {
    for (const std::uint64_t Seed : {1U, 2U, 3U}) {
      CAPTURE(Load, Seed);
      const auto Naive = play(Load, false, Seed);
      const auto Limited = play(Load, true, Seed);
      // As much is served, and three of four answers come in time.
      CHECK(Limited.InTime + Limited.Late >=
            0.95 * (Naive.InTime + Naive.Late));
      CHECK(Limited.InTime >= 0.75 * (Limited.InTime + Limited.Late));
      CHECK(Limited.InTime > Naive.InTime);
      CHECK(Limited.WorstRefusal <= WaitLimit + 10ms);
    }
  }
}

// Guards against a limit where there is no need for one.
TEST_CASE("a service with room serves all calls") {
  const auto Naive = play(0.5, false, 1);
  const auto Limited = play(0.5, true, 1);
  CHECK(Limited.Refused == 0);
  CHECK(Limited.InTime == Naive.InTime);
}

// Guards against refusals where every answer comes late anyway, since late
// answers are still of use, and against a queue too short to keep upstreams
// busy.
TEST_CASE("the wait ends in time for the answer but keeps half its limit") {
  struct row {
    duration Answer;
    duration Wanted;
    duration Limit;
  };
  const instant Now(200s);
  for (const auto &Row :
       {row{60ms, 300ms, 240ms}, row{150ms, 300ms, 150ms},
        row{200ms, 300ms, WaitLimit / 2}, row{500ms, 300ms, WaitLimit}}) {
    CAPTURE(Row.Answer.count());
    request_scheduler Pool(1);
    upstream_info Facts;
    Facts.Id = upstream_id{1};
    Facts.Slots = 1;
    Pool.setUpstreams({Facts}, Now);
    instant At = Now;
    for (std::uint64_t Id = 1; Id <= 200; ++Id) {
      queued_request Request;
      Request.RequestId = Id;
      Request.Team = team_id{1};
      Request.DispatchDeadline = At + WaitLimit;
      REQUIRE(Pool.enqueue(Request, At));
      At += Row.Answer;
      Pool.complete(Id, upstream_result::Succeeded, At);
    }
    queued_request Request;
    Request.DispatchDeadline = At + WaitLimit;
    Request.ResponseTarget = At + Row.Wanted;
    const duration Limit = Pool.dispatchDeadline(Request, At) - At;
    CHECK(std::abs(toMicros(Limit - Row.Limit)) <= 1000);
  }
}
