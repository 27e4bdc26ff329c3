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
constexpr double MeanWorkMs = 60;

/// Responses of a plain service that receives more requests than it can serve.
struct burst_result {
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  duration WorstRefusal = duration::zero();
};

/// Simulated servers, each with slots and a queue of its own.
struct plain_service {
  struct server {
    std::uint32_t Running = 0;
    std::queue<std::uint64_t> Queue;
  };

  explicit plain_service(std::uint64_t Seed) : Random(Seed) {}

  void submit(std::uint64_t Id, std::uint32_t Server, instant Now) {
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
    const auto WorkUs =
        static_cast<std::int64_t>(1000 * MeanWorkMs * Work(Random) / 1.13);
    Ends.emplace(Now + duration(WorkUs), std::pair(Id, Server));
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

burst_result runBurst(double Load, bool WithResponseTarget,
                      std::uint64_t Seed) {
  constexpr duration Length = 10s;
  constexpr int Teams = 4;
  request_scheduler Scheduler(Seed);
  std::vector<upstream_info> List(Servers);
  for (std::uint32_t I = 0; I < Servers; ++I) {
    List[I].Id = upstream_id{I + 1};
    List[I].Name = "plain-" + std::to_string(I + 1);
    List[I].Slots = Slots;
  }
  const instant Start(100s);
  Scheduler.setUpstreams(List, Start);
  plain_service Service(Seed);
  burst_result Result;
  std::map<std::uint64_t, instant> Arrived;
  const double Rate = Load * Slots * Servers / MeanWorkMs * 1000;
  std::exponential_distribution<double> Gap(Rate / 1e6);
  instant NextArrival = Start;
  std::uint64_t LastId = 0;
  const auto Dispatch = [&](instant Now) {
    for (const auto &Expired : Scheduler.expireWaiting(Now)) {
      ++Result.Refused;
      Result.WorstRefusal =
          std::max(Result.WorstRefusal, Now - Arrived[Expired.RequestId]);
    }
    for (const auto &Ready : Scheduler.dispatchReady(Now)) {
      Service.submit(Ready.RequestId, number(Ready.Upstream), Now);
    }
  };
  while (NextArrival < Start + Length) {
    if (!Service.Ends.empty() && Service.Ends.begin()->first <= NextArrival) {
      const auto [Now, Ended] = *Service.Ends.begin();
      Service.Ends.erase(Service.Ends.begin());
      Service.end(Ended.second, Now);
      Scheduler.complete(Ended.first, upstream_result::Succeeded, Now);
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
    if (WithResponseTarget) {
      Request.ResponseTarget = Now + Objective;
    }
    Arrived[LastId] = Now;
    if (!Scheduler.canServeInTime(Request, Now)) {
      ++Result.Refused;
    } else if (const auto Upstream = Scheduler.enqueue(Request, Now)) {
      Service.submit(LastId, number(*Upstream), Now);
    }
    Dispatch(Now);
  }
  return Result;
}

} // namespace

// Guards against a queue in which every request waits so long that its response
// is just too late. This happens if the maximum wait is a fixed fraction of the
// objective and does not depend on the response time.
TEST_CASE("queued requests still complete within their objective") {
  for (const double Load : {1.2, 1.5, 2.5}) {
    for (const std::uint64_t Seed : {1U, 2U, 3U}) {
      CAPTURE(Load, Seed);
      const auto FixedLimit = runBurst(Load, false, Seed);
      const auto WithTarget = runBurst(Load, true, Seed);
      // At least 95 % of the throughput is kept, and at least three of four
      // responses are in time.
      CHECK(WithTarget.InTime + WithTarget.Late >=
            0.95 * (FixedLimit.InTime + FixedLimit.Late));
      CHECK(WithTarget.InTime >= 0.75 * (WithTarget.InTime + WithTarget.Late));
      CHECK(WithTarget.InTime > FixedLimit.InTime);
      CHECK(WithTarget.WorstRefusal <= WaitLimit + 10ms);
    }
  }
}

// Guards against a shorter maximum wait although there is no overload.
TEST_CASE("a service with spare capacity serves all requests") {
  const auto FixedLimit = runBurst(0.5, false, 1);
  const auto WithTarget = runBurst(0.5, true, 1);
  CHECK(WithTarget.Refused == 0);
  CHECK(WithTarget.InTime == FixedLimit.InTime);
}

// Guards against refusing requests whose responses are late in any case, since
// late responses are still of use, and against a queue too short to keep the
// upstreams busy.
TEST_CASE("the response target shortens the wait by at most half") {
  struct row {
    duration ResponseTime;
    duration Target;
    duration Limit;
  };
  const instant Now(200s);
  for (const auto &Row :
       {row{60ms, 300ms, 240ms}, row{150ms, 300ms, 150ms},
        row{200ms, 300ms, WaitLimit / 2}, row{500ms, 300ms, WaitLimit}}) {
    CAPTURE(Row.ResponseTime.count());
    request_scheduler Scheduler(1);
    upstream_info Info;
    Info.Id = upstream_id{1};
    Info.Slots = 1;
    Scheduler.setUpstreams({Info}, Now);
    instant At = Now;
    for (std::uint64_t Id = 1; Id <= 200; ++Id) {
      queued_request Request;
      Request.RequestId = Id;
      Request.Team = team_id{1};
      Request.DispatchDeadline = At + WaitLimit;
      REQUIRE(Scheduler.enqueue(Request, At));
      At += Row.ResponseTime;
      Scheduler.complete(Id, upstream_result::Succeeded, At);
    }
    queued_request Request;
    Request.DispatchDeadline = At + WaitLimit;
    Request.ResponseTarget = At + Row.Target;
    const duration Limit = Scheduler.dispatchDeadline(Request, At) - At;
    CHECK(std::abs(toMicros(Limit - Row.Limit)) <= 1000);
  }
}
