#include "balance/request_scheduler.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr instant Start(100s);
constexpr std::uint64_t SharedBlock = 50;

upstream_info engine(std::uint32_t Id) {
  upstream_info Info;
  Info.Id = upstream_id{Id};
  Info.Name = "engine-" + std::to_string(Id);
  Info.Slots = 64;
  Info.IsModelEngine = true;
  Info.CacheTokens = 100'000;
  return Info;
}

/// A request whose shared prefix is 6,000 tokens long.
queued_request request(std::uint64_t Id, instant Now) {
  queued_request Request;
  Request.RequestId = Id;
  Request.Team = team_id{1};
  Request.Cost = 9'000;
  Request.Prompt = {{SharedBlock, 6'000}, {1'000 + Id, 3'000}};
  Request.DispatchDeadline = Now + 320ms;
  return Request;
}

} // namespace

// Guards against requests that wait, until they are refused, for the engine
// that has their prefix, although it makes no progress (FAIR).
TEST_CASE("a request waits for a busy engine only while that makes progress") {
  struct row {
    std::string What;
    duration PromptAge; ///< of the prompt in prefill; usually 100 ms
    bool OtherUsed;
  };
  const std::vector<row> Rows = {
      {"just sent", 0ms, false},       {"as long as usual", 100ms, false},
      {"a little late", 200ms, false}, {"stalled", 500ms, true},
      {"stalled for long", 3s, true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    request_scheduler Scheduler(1);
    Scheduler.setUpstreams({engine(1), engine(2)}, Start);
    instant Now = Start;
    const auto Home = Scheduler.enqueue(request(1, Now), Now);
    REQUIRE(Home);
    // The usual time to a first byte.
    for (std::uint64_t Id = 1; Id <= 20; ++Id) {
      Now += 100ms;
      Scheduler.onFirstByte(Id, Now);
      Scheduler.complete(Id, upstream_result::Succeeded, Now);
      REQUIRE(Scheduler.enqueue(request(Id + 1, Now), Now) == Home);
    }
    Now += Row.PromptAge;
    const auto Upstream = Scheduler.enqueue(request(100, Now), Now);
    CHECK(Upstream.has_value() == Row.OtherUsed);
    CHECK(Upstream != Home);
    // The engine is used again once it has made progress.
    Scheduler.onFirstByte(21, Now);
    if (Upstream) {
      CHECK(Scheduler.enqueue(request(101, Now), Now) == Home);
    } else {
      const auto Ready = Scheduler.dispatchReady(Now);
      REQUIRE(Ready.size() == 1);
      CHECK(Ready[0].Upstream == Home);
    }
  }
}
