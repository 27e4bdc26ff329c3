#include "balance/request_scheduler.h"
#include "base/digest.h"
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr instant Start(100s);
constexpr std::uint64_t SharedTokens = 4'900;

upstream_info engine(std::uint32_t Id) {
  upstream_info Info;
  Info.Id = upstream_id{Id};
  Info.Name = "engine-" + std::to_string(Id);
  Info.Slots = 64;
  Info.IsModelEngine = true;
  Info.CacheTokens = 500'000;
  return Info;
}

std::vector<upstream_info> engines(std::uint32_t Count) {
  std::vector<upstream_info> List;
  for (std::uint32_t Id = 1; Id <= Count; ++Id) {
    List.push_back(engine(Id));
  }
  return List;
}

queued_request sessionRequest(std::uint64_t Id, std::uint64_t Session,
                              std::uint64_t OwnTokens, instant Now) {
  queued_request Request;
  Request.RequestId = Id;
  Request.Team = team_id{static_cast<std::uint32_t>(Session % 16 + 1)};
  Request.Prompt = {{hash64("session", Session), SharedTokens},
                    {hash64("own", Id), OwnTokens}};
  Request.Cost = static_cast<double>(SharedTokens + OwnTokens);
  Request.DispatchDeadline = Now + 320ms;
  return Request;
}

/// Engines that prefill one prompt after the other and keep every shared
/// prefix, behind a scheduler that can be replaced by an empty one.
class placement_simulation {
public:
  placement_simulation(std::uint32_t EngineCount, std::uint64_t Seed)
      : EngineCount(EngineCount), Random(Seed) {
    replaceScheduler(Start);
  }

  /// The owner of the cell is lost: its successor knows nothing of the caches
  /// and of the requests in flight.
  void replaceScheduler(instant Now) {
    Scheduler = std::make_unique<request_scheduler>(Random());
    Scheduler->setUpstreams(engines(EngineCount), Now);
    Waiting.clear();
  }

  void arrive(std::uint64_t Session, instant Now) {
    std::uniform_int_distribution<std::uint64_t> OwnTokens(500, 5'000);
    const std::uint64_t Id = ++LastId;
    auto Request = sessionRequest(Id, Session, OwnTokens(Random), Now);
    Waiting[Id] = {Session, Request.Prompt.back().Tokens};
    ++Arrived;
    if (const auto Upstream = Scheduler->enqueue(std::move(Request), Now)) {
      begin({Id, *Upstream}, Now);
    }
  }

  void advance(instant Now) {
    while (!Prefills.empty() && Prefills.begin()->first <= Now) {
      const auto Id = Prefills.begin()->second;
      Prefills.erase(Prefills.begin());
      Scheduler->onFirstByte(Id, Now);
      Scheduler->complete(Id, upstream_result::Succeeded, Now);
    }
    for (const auto &Ready : Scheduler->dispatchReady(Now)) {
      begin(Ready, Now);
    }
    for (const auto &Expired : Scheduler->expireWaiting(Now)) {
      Waiting.erase(Expired.RequestId);
      ++Refused;
    }
  }

  std::uint64_t Arrived = 0;
  std::uint64_t Refused = 0;
  std::uint64_t SharedTokensAsked = 0;
  std::uint64_t SharedTokensReadAgain = 0;

private:
  struct waiting_prompt {
    std::uint64_t Session = 0;
    std::uint64_t OwnTokens = 0;
  };

  void begin(const dispatch_decision &Decision, instant Now) {
    constexpr std::uint64_t TokensPerMs = 92;
    const auto Prompt = Waiting.at(Decision.RequestId);
    Waiting.erase(Decision.RequestId);
    auto &Cache = Caches[Decision.Upstream];
    const bool Cached = !Cache.insert(Prompt.Session).second;
    const bool ReadBefore = !ReadSessions.insert(Prompt.Session).second;
    SharedTokensAsked += SharedTokens;
    if (!Cached && ReadBefore) {
      SharedTokensReadAgain += SharedTokens;
    }
    const std::uint64_t Tokens = Prompt.OwnTokens + (Cached ? 0 : SharedTokens);
    instant &Free = BusyUntil[Decision.Upstream];
    Free =
        std::max(Free, Now) + std::chrono::milliseconds(Tokens / TokensPerMs);
    Prefills.emplace(Free, Decision.RequestId);
  }

  std::uint32_t EngineCount;
  std::mt19937_64 Random;
  std::unique_ptr<request_scheduler> Scheduler;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, waiting_prompt> Waiting;
  std::map<upstream_id, std::set<std::uint64_t>> Caches;
  std::map<upstream_id, instant> BusyUntil;
  std::multimap<instant, std::uint64_t> Prefills;
  std::set<std::uint64_t> ReadSessions;
};

} // namespace

// Guards against a shared prefix that is prefilled on one more engine each time
// the owner of a cell changes: its successor has no record of the caches.
TEST_CASE("schedulers that know nothing of the caches select the same engine") {
  struct row {
    std::string What;
    std::uint32_t Engines;
  };
  const std::vector<row> Rows = {{"a small cell", 3}, {"a whole service", 12}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    std::set<upstream_id> Used;
    for (std::uint64_t Session = 1; Session <= 60; ++Session) {
      CAPTURE(Session);
      std::set<upstream_id> Selected;
      for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
        request_scheduler Scheduler(Seed);
        Scheduler.setUpstreams(engines(Row.Engines), Start);
        const auto Upstream = Scheduler.enqueue(
            sessionRequest(Session * 100 + Seed, Session, 900, Start), Start);
        REQUIRE(Upstream);
        Selected.insert(*Upstream);
      }
      CHECK(Selected.size() == 1);
      Used.insert(Selected.begin(), Selected.end());
    }
    CHECK(Used.size() == Row.Engines);
  }
}

// Pattern: one prefix is asked for while its engine prefills a prompt. Guards
// against a request that waits although most engines are idle, and against one
// that prefills the prefix again while others wait for every engine.
TEST_CASE("a request waits for its prefix the longer the busier the engines") {
  struct row {
    std::string What;
    std::uint32_t BusyEngines; ///< of eight, beside that with the prefix
    bool Waits;
  };
  const std::vector<row> Rows = {
      {"one busy engine", 0, false},
      {"half of the engines busy", 3, false},
      {"all but one busy", 6, true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    request_scheduler Scheduler(1);
    Scheduler.setUpstreams(engines(8), Start);
    const auto Home =
        Scheduler.enqueue(sessionRequest(1, 7, 500, Start), Start);
    REQUIRE(Home);
    Scheduler.onFirstByte(1, Start);
    std::uint64_t Id = 1;
    // Occupies one engine with a prompt of this length.
    const auto Occupy = [&](upstream_id Engine, std::uint64_t Tokens) {
      queued_request Long;
      Long.RequestId = ++Id;
      Long.Team = team_id{2};
      Long.Prompt = {{hash64("long", Id), Tokens}};
      for (std::uint32_t Other = 1; Other <= 8; ++Other) {
        if (upstream_id{Other} != Engine) {
          Long.Excluded.push_back(upstream_id{Other});
        }
      }
      Long.DispatchDeadline = Start + 1s;
      const auto Occupied = Scheduler.enqueue(std::move(Long), Start);
      REQUIRE(Occupied);
    };
    Occupy(*Home, 25'000);
    std::uint32_t Busy = 0;
    for (std::uint32_t Engine = 1; Engine <= 8 && Busy < Row.BusyEngines;
         ++Engine) {
      if (upstream_id{Engine} != *Home) {
        Occupy(upstream_id{Engine}, 25'000);
        ++Busy;
      }
    }
    // Short prompts let the scheduler measure how busy the engines are.
    for (int I = 0; I < 60; ++I) {
      queued_request Short;
      Short.RequestId = ++Id;
      Short.Team = team_id{3};
      Short.Prompt = {{hash64("short", Id), 10}};
      Short.DispatchDeadline = Start + 1s;
      if (Scheduler.enqueue(std::move(Short), Start)) {
        Scheduler.onFirstByte(Id, Start);
        Scheduler.complete(Id, upstream_result::Succeeded, Start);
      }
    }
    const auto Upstream =
        Scheduler.enqueue(sessionRequest(++Id, 7, 500, Start), Start);
    CHECK(Upstream.has_value() != Row.Waits);
    CHECK(Upstream != Home);
  }
}

// Guards against capacity that is spent on prefixes that an engine has cached
// already. Steady load of long prompts, with and without changes of the owner;
// the users' target is a tenth of the shared tokens.
TEST_CASE("shared prefixes are rarely prefilled again") {
  struct row {
    std::string What;
    duration OwnerLifetime;
  };
  const std::vector<row> Rows = {
      {"one owner", 1h},
      {"the owner changes every four seconds", 4s},
      {"the owner changes every second", 1s},
  };
  constexpr duration Length = 20s;
  constexpr duration Step = 5ms;
  constexpr double ArrivalsPerStep = 43.0 / 200;
  constexpr std::uint64_t Sessions = 67;
  for (const auto &Row : Rows) {
    for (const std::uint64_t Seed : {1U, 2U, 3U}) {
      CAPTURE(Row.What, Seed);
      placement_simulation Simulation(12, Seed);
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<double> Chance(0, 1);
      std::uniform_int_distribution<std::uint64_t> AnySession(1, Sessions);
      instant ReplacedAt = Start;
      for (instant Now = Start; Now < Start + Length; Now += Step) {
        if (Now - ReplacedAt >= Row.OwnerLifetime) {
          ReplacedAt = Now;
          Simulation.replaceScheduler(Now);
        }
        if (Chance(Random) < ArrivalsPerStep) {
          Simulation.arrive(AnySession(Random), Now);
        }
        Simulation.advance(Now);
      }
      CHECK(Simulation.SharedTokensReadAgain <
            Simulation.SharedTokensAsked / 10);
      CHECK(Simulation.Refused < Simulation.Arrived / 50);
    }
  }
}
