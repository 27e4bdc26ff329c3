#include "balance/request_scheduler.h"
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr instant Start(100s);

upstream_info engine(std::uint32_t Id, std::uint64_t CacheTokens = 100'000) {
  upstream_info Info;
  Info.Id = upstream_id{Id};
  Info.Name = "engine-" + std::to_string(Id);
  Info.Slots = 64;
  Info.IsModelEngine = true;
  Info.CacheTokens = CacheTokens;
  return Info;
}

upstream_info plain(std::uint32_t Id, std::uint32_t Slots) {
  upstream_info Info;
  Info.Id = upstream_id{Id};
  Info.Name = "plain-" + std::to_string(Id);
  Info.Slots = Slots;
  return Info;
}

queued_request promptRequest(std::uint64_t Id, std::uint32_t Team,
                             std::vector<prompt_block> Blocks) {
  queued_request Request;
  Request.RequestId = Id;
  Request.Team = team_id{Team};
  Request.Prompt = std::move(Blocks);
  Request.Cost = 0;
  for (const auto &Block : Request.Prompt) {
    Request.Cost += static_cast<double>(Block.Tokens);
  }
  Request.DispatchDeadline = Start + 1s;
  return Request;
}

queued_request plainRequest(std::uint64_t Id, std::uint32_t Team = 1) {
  return promptRequest(Id, Team, {});
}

std::uint32_t upstreamNumber(std::optional<upstream_id> Upstream) {
  return Upstream ? number(*Upstream) : 0;
}

} // namespace

// Guards against streams that stall because an engine processes several long
// prompts without a pause.
TEST_CASE(
    "an engine gets the next prompt after it has processed the previous one") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({engine(1)}, Start);
  REQUIRE(Scheduler.enqueue(promptRequest(1, 1, {{11, 9'000}}), Start));
  CHECK_FALSE(Scheduler.enqueue(promptRequest(2, 1, {{12, 500}}), Start));
  CHECK(Scheduler.dispatchReady(Start).empty());
  Scheduler.onFirstByte(1, Start);
  const auto Ready = Scheduler.dispatchReady(Start);
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].RequestId == 2);
  // A short prompt leaves capacity for the next one immediately.
  CHECK(Scheduler.enqueue(promptRequest(3, 1, {{13, 500}}), Start));
}

// Guards against every engine processing the same shared prompt, which wastes
// capacity.
TEST_CASE("requests go to the engine that has cached their shared prompt") {
  struct row {
    std::string What;
    std::uint64_t Busy; ///< pending prefill of the engine with the prompt
    bool SameEngine;
  };
  const std::vector<row> Rows = {
      {"idle", 0, true},
      {"busy with a short prompt", 3'000, true},
      {"busy with a very long prompt", 60'000, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    request_scheduler Scheduler(1);
    Scheduler.setUpstreams({engine(1), engine(2), engine(3)}, Start);
    const auto First =
        Scheduler.enqueue(promptRequest(1, 1, {{50, 6'000}, {51, 900}}), Start);
    REQUIRE(First);
    Scheduler.onFirstByte(1, Start);
    Scheduler.complete(1, upstream_result::Succeeded, Start);
    if (Row.Busy > 0) {
      auto Busy = promptRequest(2, 1, {{60, Row.Busy}});
      for (const auto Other : {1U, 2U, 3U}) {
        if (Other != number(*First)) {
          Busy.Excluded.push_back(upstream_id{Other});
        }
      }
      REQUIRE(Scheduler.enqueue(Busy, Start) == First);
    }
    auto Second =
        Scheduler.enqueue(promptRequest(3, 1, {{50, 6'000}, {52, 900}}), Start);
    // The request waits for the engine that has cached the prompt.
    CHECK(Second.has_value() == (Row.Busy == 0 || !Row.SameEngine));
    if (!Second) {
      Scheduler.onFirstByte(2, Start);
      const auto Ready = Scheduler.dispatchReady(Start);
      REQUIRE(Ready.size() == 1);
      Second = Ready[0].Upstream;
    }
    CHECK((Second == First) == Row.SameEngine);
  }
}

// Guards against a team with many requests that starves the others.
TEST_CASE("waiting teams are served fairly by cost") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({engine(1)}, Start);
  REQUIRE(Scheduler.enqueue(promptRequest(1, 1, {{1, 8'000}}), Start));
  for (std::uint64_t Id = 10; Id < 20; ++Id) {
    REQUIRE_FALSE(
        Scheduler.enqueue(promptRequest(Id, 1, {{Id, 8'000}}), Start));
  }
  REQUIRE_FALSE(Scheduler.enqueue(promptRequest(30, 2, {{30, 8'000}}), Start));
  REQUIRE_FALSE(Scheduler.enqueue(promptRequest(31, 2, {{31, 8'000}}), Start));
  std::vector<std::uint64_t> Order;
  std::uint64_t Running = 1;
  for (int I = 0; I < 4; ++I) {
    Scheduler.onFirstByte(Running, Start);
    const auto Ready = Scheduler.dispatchReady(Start);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
    Order.push_back(Running);
  }
  CHECK(std::count_if(Order.begin(), Order.end(),
                      [](auto Id) { return Id >= 30; }) == 2);
}

// Guards against requests that wait and then expire, and against a light team
// that is refused because of a heavy one.
TEST_CASE("a request is refused at once if its team's queue is too long") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({engine(1)}, Start);
  std::uint64_t Running = 1;
  REQUIRE(Scheduler.enqueue(promptRequest(1, 1, {{1, 5'000}}), Start));
  std::uint64_t Id = 100;
  instant Now = Start;
  // Serves one prompt of 5,000 tokens every 100 ms, while team 1 sends five.
  for (int Step = 0; Step < 20; ++Step) {
    for (int I = 0; I < 5; ++I) {
      ++Id;
      auto Request = promptRequest(Id, 1, {{Id, 5'000}});
      Request.DispatchDeadline = Now + 600ms;
      if (Scheduler.canServeInTime(Request, Now)) {
        CHECK_FALSE(Scheduler.enqueue(Request, Now));
      }
    }
    Now += 100ms;
    Scheduler.onFirstByte(Running, Now);
    Scheduler.complete(Running, upstream_result::Succeeded, Now);
    CHECK(Scheduler.expireWaiting(Now).size() <=
          10); // queued before the rate was known
    const auto Ready = Scheduler.dispatchReady(Now);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
  }
  // About six can be served within 600 ms.
  CHECK(Scheduler.waitingCount() >= 3);
  CHECK(Scheduler.waitingCount() <= 9);
  auto Light = promptRequest(1'000, 2, {{1'000, 5'000}});
  Light.DispatchDeadline = Now + 300ms;
  CHECK(Scheduler.canServeInTime(Light, Now));
  auto Heavy = promptRequest(1'001, 1, {{1'001, 5'000}});
  Heavy.DispatchDeadline = Now + 300ms;
  CHECK_FALSE(Scheduler.canServeInTime(Heavy, Now));
}

// Guards against a plain upstream that receives more than its own queue holds,
// and against idle slots while requests wait.
TEST_CASE("a plain upstream gets two requests per slot") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({plain(1, 2), plain(2, 2)}, Start);
  std::map<std::uint32_t, int> Sent;
  for (std::uint64_t Id = 1; Id <= 8; ++Id) {
    ++Sent[upstreamNumber(Scheduler.enqueue(plainRequest(Id), Start))];
  }
  CHECK(Sent == std::map<std::uint32_t, int>{{1, 4}, {2, 4}});
  CHECK_FALSE(Scheduler.enqueue(plainRequest(9), Start));
  Scheduler.complete(3, upstream_result::Succeeded, Start);
  CHECK(Scheduler.dispatchReady(Start).size() == 1);
}

// Guards against exceeding the request rate of a cold upstream, with one router
// and with several.
TEST_CASE("a cold upstream receives requests at its limited rate") {
  struct row {
    std::uint32_t Schedulers;
    double Rate;
    double MaxPerSecond; ///< of one scheduler
  };
  for (const auto &Row : std::vector<row>{{1, 12, 12}, {10, 12, 1.2}}) {
    CAPTURE(Row.Schedulers);
    request_scheduler Scheduler(7);
    Scheduler.setSchedulerCount(Row.Schedulers);
    auto Cold = engine(1);
    Cold.ColdRequestsPerSecond = Row.Rate;
    Scheduler.setUpstreams({Cold}, Start);
    std::uint64_t Id = 0;
    int Sent = 0;
    for (int Millis = 0; Millis < 10'000; Millis += 10) {
      const instant Now = Start + std::chrono::milliseconds(Millis);
      auto Request = plainRequest(++Id);
      Request.DispatchDeadline = Now;
      if (Scheduler.enqueue(Request, Now)) {
        ++Sent;
        Scheduler.complete(Id, upstream_result::Succeeded, Now);
      } else {
        Scheduler.cancel(Id);
      }
    }
    CHECK(Sent > 0);
    CHECK(Sent <= Row.MaxPerSecond * 10 + 1);
  }
}

// Guards against requests that are sent to an upstream that is unreachable or
// has no capacity.
TEST_CASE("an upstream that fails is in back-off for a limited time") {
  struct row {
    std::string What;
    upstream_result Result;
    int AfterMs;
    bool Used;
  };
  const std::vector<row> Rows = {
      {"unreachable", upstream_result::Unreachable, 100, false},
      {"unreachable, later", upstream_result::Unreachable, 600, true},
      {"refused", upstream_result::Overloaded, 50, false},
      {"refused, later", upstream_result::Overloaded, 150, true},
      {"good", upstream_result::Succeeded, 0, true},
      {"the caller left", upstream_result::Ignored, 0, true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    request_scheduler Scheduler(1);
    Scheduler.setUpstreams({plain(1, 4)}, Start);
    REQUIRE(Scheduler.enqueue(plainRequest(1), Start));
    Scheduler.complete(1, Row.Result, Start);
    const instant Later = Start + std::chrono::milliseconds(Row.AfterMs);
    CHECK(Scheduler.enqueue(plainRequest(2), Later).has_value() == Row.Used);
  }
}

// Guards against waiting requests that are lost or refused twice.
TEST_CASE("a waiting request expires at its deadline and only once") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({plain(1, 1)}, Start);
  REQUIRE(Scheduler.enqueue(plainRequest(1), Start));
  REQUIRE(Scheduler.enqueue(plainRequest(2), Start));
  REQUIRE_FALSE(Scheduler.enqueue(plainRequest(3), Start));
  REQUIRE_FALSE(Scheduler.enqueue(plainRequest(4), Start));
  CHECK(Scheduler.cancel(3));
  CHECK_FALSE(Scheduler.cancel(3));
  CHECK(Scheduler.expireWaiting(Start + 999ms).empty());
  const auto Expired = Scheduler.expireWaiting(Start + 1s);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].RequestId == 4);
  CHECK(Expired[0].Preferred == upstream_id{1});
  CHECK(Scheduler.expireWaiting(Start + 2s).empty());
  CHECK(Scheduler.waitingCount() == 0);
}

// Guards against the load and prompt cache of a previous run being attributed
// to a restarted upstream.
TEST_CASE("a new run of an upstream starts without load") {
  request_scheduler Scheduler(1);
  auto Info = plain(1, 1);
  Scheduler.setUpstreams({Info}, Start);
  REQUIRE(Scheduler.enqueue(plainRequest(1), Start));
  REQUIRE(Scheduler.enqueue(plainRequest(2), Start));
  REQUIRE_FALSE(Scheduler.enqueue(plainRequest(3), Start));
  Info.StartedMs = 5;
  Scheduler.setUpstreams({Info}, Start);
  CHECK(Scheduler.dispatchReady(Start).size() == 1);
  // Requests of the old run complete without changing the count of the new one.
  Scheduler.complete(1, upstream_result::Failed, Start);
  CHECK(Scheduler.find(upstream_id{1})->InFlight <= 1);
}

// Guards against refusing requests of a team with most of the load because each
// team with one small waiting request is assumed to use an even share of the
// capacity.
TEST_CASE("the unused share of small teams goes to the other teams") {
  request_scheduler Scheduler(1);
  Scheduler.setUpstreams({engine(1)}, Start);
  REQUIRE(Scheduler.enqueue(promptRequest(1, 1, {{1, 5'000}}), Start));
  std::uint64_t Running = 1;
  std::uint64_t Id = 100;
  instant Now = Start;
  const auto Big = [&] {
    ++Id;
    auto Request = promptRequest(Id, 1, {{Id, 5'000}});
    Request.DispatchDeadline = Now + 600ms;
    return Request;
  };
  // Team 1 keeps the engine busy: one prompt of 5,000 tokens every 100 ms, with
  // three waiting.
  for (int I = 0; I < 3; ++I) {
    REQUIRE_FALSE(Scheduler.enqueue(Big(), Now));
  }
  for (int Step = 0; Step < 20; ++Step) {
    Now += 100ms;
    Scheduler.onFirstByte(Running, Now);
    Scheduler.complete(Running, upstream_result::Succeeded, Now);
    REQUIRE_FALSE(Scheduler.enqueue(Big(), Now));
    const auto Ready = Scheduler.dispatchReady(Now);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
  }
  for (std::uint32_t Team = 2; Team < 12; ++Team) {
    const std::uint64_t Small = 10'000 + Team;
    REQUIRE_FALSE(
        Scheduler.enqueue(promptRequest(Small, Team, {{Small, 50}}), Now));
  }
  // About 300 ms of the team's own work is queued before the next request.
  CHECK(Scheduler.canServeInTime(Big(), Now));
  auto Late = Big();
  Late.DispatchDeadline = Now + 200ms;
  CHECK_FALSE(Scheduler.canServeInTime(Late, Now));
}

// Guards against an idle plain upstream while requests wait for one with a
// slightly lower failure rate, and against sending requests to one that fails
// most of them.
TEST_CASE("requests do not wait while an upstream has spare capacity") {
  struct row {
    int Failures; ///< of the last ten requests to upstream 2
    bool Used;
  };
  for (const auto &Row :
       {row{0, true}, row{1, true}, row{3, true}, row{9, false}}) {
    CAPTURE(Row.Failures);
    request_scheduler Scheduler(1);
    Scheduler.setUpstreams({plain(2, 6)}, Start);
    std::uint64_t Id = 0;
    for (int I = 0; I < 10; ++I) {
      REQUIRE(upstreamNumber(Scheduler.enqueue(plainRequest(++Id), Start)) ==
              2);
      Scheduler.complete(Id,
                         I < 10 - Row.Failures ? upstream_result::Succeeded
                                               : upstream_result::Failed,
                         Start);
    }
    Scheduler.setUpstreams({plain(1, 6), plain(2, 6)}, Start);
    std::map<std::uint32_t, int> Sent;
    for (int I = 0; I < 24; ++I) {
      ++Sent[upstreamNumber(Scheduler.enqueue(plainRequest(++Id), Start))];
    }
    CHECK(Sent[1] == 12);
    CHECK(Sent[2] == (Row.Used ? 12 : 0));
    CHECK(Scheduler.waitingCount() == (Row.Used ? 0 : 12));
  }
}
