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
  upstream_info Facts;
  Facts.Id = upstream_id{Id};
  Facts.Name = "engine-" + std::to_string(Id);
  Facts.Slots = 64;
  Facts.IsModelEngine = true;
  Facts.CacheTokens = CacheTokens;
  return Facts;
}

upstream_info plain(std::uint32_t Id, std::uint32_t Slots) {
  upstream_info Facts;
  Facts.Id = upstream_id{Id};
  Facts.Name = "plain-" + std::to_string(Id);
  Facts.Slots = Slots;
  return Facts;
}

queued_request prompt(std::uint64_t Id, std::uint32_t Team,
                      std::vector<prompt_block> Chunks) {
  queued_request Request;
  Request.RequestId = Id;
  Request.Team = team_id{Team};
  Request.Prompt = std::move(Chunks);
  Request.Cost = 0;
  for (const auto &Chunk : Request.Prompt) {
    Request.Cost += static_cast<double>(Chunk.Tokens);
  }
  Request.DispatchDeadline = Start + 1s;
  return Request;
}

queued_request call(std::uint64_t Id, std::uint32_t Team = 1) {
  return prompt(Id, Team, {});
}

std::uint32_t numberOf(std::optional<upstream_id> Upstream) {
  return Upstream ? number(*Upstream) : 0;
}

} // namespace

// Guards against streams that stall because several long prompts are read at
// one engine without a pause.
TEST_CASE("an engine gets the next prompt when the last one has been read") {
  request_scheduler Pool(1);
  Pool.setUpstreams({engine(1)}, Start);
  REQUIRE(Pool.enqueue(prompt(1, 1, {{11, 9'000}}), Start));
  CHECK_FALSE(Pool.enqueue(prompt(2, 1, {{12, 500}}), Start));
  CHECK(Pool.dispatchReady(Start).empty());
  Pool.onFirstByte(1);
  const auto Ready = Pool.dispatchReady(Start);
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].RequestId == 2);
  // A short prompt leaves room for the next one at once.
  CHECK(Pool.enqueue(prompt(3, 1, {{13, 500}}), Start));
}

// Guards against shared prompts that every engine reads, which uses capacity
// for nothing.
TEST_CASE("requests meet at the engine that has their shared prompt") {
  struct row {
    std::string What;
    std::uint64_t Busy; ///< tokens that the engine with the prompt still reads
    bool SameEngine;
  };
  const std::vector<row> Rows = {
      {"idle", 0, true},
      {"busy with a short prompt", 3'000, true},
      {"busy with a very long prompt", 60'000, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    request_scheduler Pool(1);
    Pool.setUpstreams({engine(1), engine(2), engine(3)}, Start);
    const auto First =
        Pool.enqueue(prompt(1, 1, {{50, 6'000}, {51, 900}}), Start);
    REQUIRE(First);
    Pool.onFirstByte(1);
    Pool.complete(1, upstream_result::Succeeded, Start);
    if (Row.Busy > 0) {
      auto Busy = prompt(2, 1, {{60, Row.Busy}});
      for (const auto Other : {1U, 2U, 3U}) {
        if (Other != number(*First)) {
          Busy.Excluded.push_back(upstream_id{Other});
        }
      }
      REQUIRE(Pool.enqueue(Busy, Start) == First);
    }
    auto Second = Pool.enqueue(prompt(3, 1, {{50, 6'000}, {52, 900}}), Start);
    // It waits for the engine that has the prompt rather than use another one.
    CHECK(Second.has_value() == (Row.Busy == 0 || !Row.SameEngine));
    if (!Second) {
      Pool.onFirstByte(2);
      const auto Ready = Pool.dispatchReady(Start);
      REQUIRE(Ready.size() == 1);
      Second = Ready[0].Upstream;
    }
    CHECK((Second == First) == Row.SameEngine);
  }
}

// Guards against a team with many requests that keeps the others from being
// served.
TEST_CASE("waiting teams are served in turn by the work that they cause") {
  request_scheduler Pool(1);
  Pool.setUpstreams({engine(1)}, Start);
  REQUIRE(Pool.enqueue(prompt(1, 1, {{1, 8'000}}), Start));
  for (std::uint64_t Id = 10; Id < 20; ++Id) {
    REQUIRE_FALSE(Pool.enqueue(prompt(Id, 1, {{Id, 8'000}}), Start));
  }
  REQUIRE_FALSE(Pool.enqueue(prompt(30, 2, {{30, 8'000}}), Start));
  REQUIRE_FALSE(Pool.enqueue(prompt(31, 2, {{31, 8'000}}), Start));
  std::vector<std::uint64_t> Order;
  std::uint64_t Running = 1;
  for (int I = 0; I < 4; ++I) {
    Pool.onFirstByte(Running);
    const auto Ready = Pool.dispatchReady(Start);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
    Order.push_back(Running);
  }
  CHECK(std::count_if(Order.begin(), Order.end(),
                      [](auto Id) { return Id >= 30; }) == 2);
}

// Guards against requests that wait in vain, and against a light team that is
// refused because of a heavy one.
TEST_CASE("a request that its own team's queue makes late is refused at once") {
  request_scheduler Pool(1);
  Pool.setUpstreams({engine(1)}, Start);
  std::uint64_t Running = 1;
  REQUIRE(Pool.enqueue(prompt(1, 1, {{1, 5'000}}), Start));
  std::uint64_t Id = 100;
  instant Now = Start;
  // One prompt of 5,000 tokens every 100 ms, while team 1 asks for five.
  for (int Step = 0; Step < 20; ++Step) {
    for (int I = 0; I < 5; ++I) {
      ++Id;
      auto Request = prompt(Id, 1, {{Id, 5'000}});
      Request.DispatchDeadline = Now + 600ms;
      if (Pool.canServeInTime(Request, Now)) {
        CHECK_FALSE(Pool.enqueue(Request, Now));
      }
    }
    Now += 100ms;
    Pool.onFirstByte(Running);
    Pool.complete(Running, upstream_result::Succeeded, Now);
    CHECK(Pool.expireWaiting(Now).size() <=
          10); // those of the first, unknown rate
    const auto Ready = Pool.dispatchReady(Now);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
  }
  // About six can be served within 600 ms.
  CHECK(Pool.waiting() >= 3);
  CHECK(Pool.waiting() <= 9);
  auto Light = prompt(1'000, 2, {{1'000, 5'000}});
  Light.DispatchDeadline = Now + 300ms;
  CHECK(Pool.canServeInTime(Light, Now));
  auto Heavy = prompt(1'001, 1, {{1'001, 5'000}});
  Heavy.DispatchDeadline = Now + 300ms;
  CHECK_FALSE(Pool.canServeInTime(Heavy, Now));
}

// Guards against a plain service that is filled beyond its own queue, and
// against idle slots while requests wait.
TEST_CASE("a plain upstream holds two requests for each slot") {
  request_scheduler Pool(1);
  Pool.setUpstreams({plain(1, 2), plain(2, 2)}, Start);
  std::map<std::uint32_t, int> Sent;
  for (std::uint64_t Id = 1; Id <= 8; ++Id) {
    ++Sent[numberOf(Pool.enqueue(call(Id), Start))];
  }
  CHECK(Sent == std::map<std::uint32_t, int>{{1, 4}, {2, 4}});
  CHECK_FALSE(Pool.enqueue(call(9), Start));
  Pool.complete(3, upstream_result::Succeeded, Start);
  CHECK(Pool.dispatchReady(Start).size() == 1);
}

// Guards against a cold upstream that gets more than it bears, from one router
// and from several.
TEST_CASE("a cold upstream gets requests at its rate") {
  struct row {
    std::uint32_t Sharers;
    double Rate;
    double MostPerSecond; ///< of one pool
  };
  for (const auto &Row : std::vector<row>{{1, 12, 12}, {10, 12, 1.2}}) {
    CAPTURE(Row.Sharers);
    request_scheduler Pool(7);
    Pool.setSchedulerCount(Row.Sharers);
    auto Cold = engine(1);
    Cold.ColdRequestsPerSecond = Row.Rate;
    Pool.setUpstreams({Cold}, Start);
    std::uint64_t Id = 0;
    int Sent = 0;
    for (int Millis = 0; Millis < 10'000; Millis += 10) {
      const instant Now = Start + std::chrono::milliseconds(Millis);
      auto Request = call(++Id);
      Request.DispatchDeadline = Now;
      if (Pool.enqueue(Request, Now)) {
        ++Sent;
        Pool.complete(Id, upstream_result::Succeeded, Now);
      } else {
        Pool.cancel(Id);
      }
    }
    CHECK(Sent > 0);
    CHECK(Sent <= Row.MostPerSecond * 10 + 1);
  }
}

// Guards against requests that go on to an upstream that cannot be reached, is
// full, or has left.
TEST_CASE("an upstream that fails is avoided for a while") {
  struct row {
    std::string What;
    upstream_result Health;
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
    request_scheduler Pool(1);
    Pool.setUpstreams({plain(1, 4)}, Start);
    REQUIRE(Pool.enqueue(call(1), Start));
    Pool.complete(1, Row.Health, Start);
    const instant Later = Start + std::chrono::milliseconds(Row.AfterMs);
    CHECK(Pool.enqueue(call(2), Later).has_value() == Row.Used);
  }
}

// Guards against waiting requests that are lost or answered twice.
TEST_CASE("a waiting request is refused at its limit and only once") {
  request_scheduler Pool(1);
  Pool.setUpstreams({plain(1, 1)}, Start);
  REQUIRE(Pool.enqueue(call(1), Start));
  REQUIRE(Pool.enqueue(call(2), Start));
  REQUIRE_FALSE(Pool.enqueue(call(3), Start));
  REQUIRE_FALSE(Pool.enqueue(call(4), Start));
  CHECK(Pool.cancel(3));
  CHECK_FALSE(Pool.cancel(3));
  CHECK(Pool.expireWaiting(Start + 999ms).empty());
  CHECK(Pool.expireWaiting(Start + 1s) == std::vector<std::uint64_t>{4});
  CHECK(Pool.expireWaiting(Start + 2s).empty());
  CHECK(Pool.waiting() == 0);
}

// Guards against an upstream that comes back under its name and is taken for
// one that still holds requests and prompts.
TEST_CASE("a new run of an upstream starts without load") {
  request_scheduler Pool(1);
  auto Facts = plain(1, 1);
  Pool.setUpstreams({Facts}, Start);
  REQUIRE(Pool.enqueue(call(1), Start));
  REQUIRE(Pool.enqueue(call(2), Start));
  REQUIRE_FALSE(Pool.enqueue(call(3), Start));
  Facts.StartedMs = 5;
  Pool.setUpstreams({Facts}, Start);
  CHECK(Pool.dispatchReady(Start).size() == 1);
  // The old run's requests end without disturbing the count of the new one.
  Pool.complete(1, upstream_result::Failed, Start);
  CHECK(Pool.find(upstream_id{1})->InFlight <= 1);
}

// A team with most of the load used to be refused as if each team with one
// small request that waits took an even share of the pool.
TEST_CASE("teams with little to do leave their share to the others") {
  request_scheduler Pool(1);
  Pool.setUpstreams({engine(1)}, Start);
  REQUIRE(Pool.enqueue(prompt(1, 1, {{1, 5'000}}), Start));
  std::uint64_t Running = 1;
  std::uint64_t Id = 100;
  instant Now = Start;
  const auto Big = [&] {
    ++Id;
    auto Request = prompt(Id, 1, {{Id, 5'000}});
    Request.DispatchDeadline = Now + 600ms;
    return Request;
  };
  // Team 1 keeps the engine busy: one prompt of 5,000 tokens every 100 ms, and
  // three that wait.
  for (int I = 0; I < 3; ++I) {
    REQUIRE_FALSE(Pool.enqueue(Big(), Now));
  }
  for (int Step = 0; Step < 20; ++Step) {
    Now += 100ms;
    Pool.onFirstByte(Running);
    Pool.complete(Running, upstream_result::Succeeded, Now);
    REQUIRE_FALSE(Pool.enqueue(Big(), Now));
    const auto Ready = Pool.dispatchReady(Now);
    REQUIRE(Ready.size() == 1);
    Running = Ready[0].RequestId;
  }
  for (std::uint32_t Team = 2; Team < 12; ++Team) {
    const std::uint64_t Small = 10'000 + Team;
    REQUIRE_FALSE(Pool.enqueue(prompt(Small, Team, {{Small, 50}}), Now));
  }
  // About 300 ms of its own work stand before the next request.
  CHECK(Pool.canServeInTime(Big(), Now));
  auto Late = Big();
  Late.DispatchDeadline = Now + 200ms;
  CHECK_FALSE(Pool.canServeInTime(Late, Now));
}

// Guards against a plain upstream that stands idle while calls wait for one
// that failed a little less often, and against one that fails most calls and
// gets them all the same.
TEST_CASE("calls do not wait beside an upstream with room") {
  struct row {
    int Failures; ///< of the last ten calls of the second upstream
    bool Used;
  };
  for (const auto &Row :
       {row{0, true}, row{1, true}, row{3, true}, row{9, false}}) {
    CAPTURE(Row.Failures);
    request_scheduler Pool(1);
    Pool.setUpstreams({plain(2, 6)}, Start);
    std::uint64_t Id = 0;
    for (int I = 0; I < 10; ++I) {
      REQUIRE(numberOf(Pool.enqueue(call(++Id), Start)) == 2);
      Pool.complete(Id,
                    I < 10 - Row.Failures ? upstream_result::Succeeded
                                          : upstream_result::Failed,
                    Start);
    }
    Pool.setUpstreams({plain(1, 6), plain(2, 6)}, Start);
    std::map<std::uint32_t, int> Sent;
    for (int I = 0; I < 24; ++I) {
      ++Sent[numberOf(Pool.enqueue(call(++Id), Start))];
    }
    CHECK(Sent[1] == 12);
    CHECK(Sent[2] == (Row.Used ? 12 : 0));
    CHECK(Pool.waiting() == (Row.Used ? 0 : 12));
  }
}
