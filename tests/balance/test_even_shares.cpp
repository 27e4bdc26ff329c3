#include "balance/request_scheduler.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::balance;

namespace {

constexpr instant Start(100s);
constexpr std::uint32_t EngineCount = 4;
constexpr std::uint64_t SharedTokens = 6'000;
constexpr std::uint64_t OwnTokens = 3'000;
/// Prompt tokens that an engine processes in a millisecond.
constexpr std::uint64_t TokensPerMs = 40;
/// Time after which the caller of a request without a response leaves.
constexpr duration CallerTimeout = 4s;

/// A cell of model engines of which some process only a part of their prompts.
/// Each team has a shared prefix of its own and asks for more than the cell
/// bears.
class stalling_cell {
public:
  /// If `PlaceApart`, the prefix of each team is at an engine of its own at the
  /// start; else the scheduler chooses.
  stalling_cell(std::uint32_t StallingEngines, double StallShare,
                std::uint32_t Seed, bool PlaceApart)
      : Scheduler(Seed), Random(Seed), StallingEngines(StallingEngines),
        StallShare(StallShare) {
    std::vector<upstream_info> List;
    for (std::uint32_t Id = 1; Id <= EngineCount; ++Id) {
      upstream_info Info;
      Info.Id = upstream_id{Id};
      Info.Name = "engine-" + std::to_string(Id);
      Info.Slots = 64;
      Info.IsModelEngine = true;
      Info.CacheTokens = 300'000;
      List.push_back(Info);
    }
    Scheduler.setUpstreams(List, Start);
    for (std::uint32_t Team = 1; PlaceApart && Team <= EngineCount; ++Team) {
      place(Team, upstream_id{Team});
    }
  }

  /// Plays until `Until`. Every 10 ms each team sends a request.
  void play(std::uint32_t Teams, instant Until) {
    for (; Now < Until; Now += 10ms) {
      advance();
      for (std::uint32_t Team = 1; Team <= Teams; ++Team) {
        arrive(Team);
      }
    }
  }

  void startStalling() noexcept { Stalling = true; }

  /// Prompt tokens of each team that engines began to answer since the last
  /// call.
  std::map<std::uint32_t, std::uint64_t> takeBegun() {
    return std::exchange(Begun, {});
  }

private:
  struct sent_request {
    std::uint32_t Team = 0;
    upstream_id Upstream{};
  };

  queued_request makeRequest(std::uint32_t Team) {
    queued_request Request;
    Request.RequestId = ++LastId;
    Request.Team = team_id{Team};
    Request.Cost = SharedTokens + OwnTokens;
    Request.Prompt = {{1'000'000 + Team, SharedTokens}, {LastId, OwnTokens}};
    Request.DispatchDeadline = Now + 320ms;
    TeamById[LastId] = Team;
    return Request;
  }

  /// Sends a request of the team to this engine.
  void place(std::uint32_t Team, upstream_id Engine) {
    auto Request = makeRequest(Team);
    for (std::uint32_t Other = 1; Other <= EngineCount; ++Other) {
      if (Other != number(Engine)) {
        Request.Excluded.push_back(upstream_id{Other});
      }
    }
    const auto Upstream = Scheduler.enqueue(Request, Now);
    REQUIRE(Upstream == Engine);
    send(Request.RequestId, Engine);
  }

  void arrive(std::uint32_t Team) {
    const auto Request = makeRequest(Team);
    if (!Scheduler.canServeInTime(Request, Now)) {
      return;
    }
    if (const auto Upstream = Scheduler.enqueue(Request, Now)) {
      send(LastId, *Upstream);
    }
  }

  void send(std::uint64_t Id, upstream_id Upstream) {
    const std::uint32_t Team = TeamById.at(Id);
    Sent[Id] = {Team, Upstream};
    std::bernoulli_distribution Stalls(StallShare);
    if (Stalling && number(Upstream) <= StallingEngines && Stalls(Random)) {
      Ends.emplace(Now + CallerTimeout, Id);
      return;
    }
    const bool Cached = !Prefixes[Upstream].insert(Team).second;
    const std::uint64_t Tokens = OwnTokens + (Cached ? 0 : SharedTokens);
    const auto Prefill = std::chrono::milliseconds(Tokens / TokensPerMs);
    FreeAt[Upstream] = std::max(FreeAt[Upstream], Now) + Prefill;
    FirstBytes.emplace(FreeAt[Upstream], Id);
    Ends.emplace(FreeAt[Upstream] + 300ms, Id);
  }

  void advance() {
    while (!FirstBytes.empty() && FirstBytes.begin()->first <= Now) {
      const auto Id = FirstBytes.begin()->second;
      FirstBytes.erase(FirstBytes.begin());
      Begun[Sent.at(Id).Team] += SharedTokens + OwnTokens;
      HasBegun.insert(Id);
      Scheduler.onFirstByte(Id, Now);
    }
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      const auto Id = Ends.begin()->second;
      Ends.erase(Ends.begin());
      Scheduler.complete(Id,
                         HasBegun.contains(Id) ? upstream_result::Succeeded
                                               : upstream_result::Ignored,
                         Now);
    }
    (void)Scheduler.expireWaiting(Now);
    for (const auto &Ready : Scheduler.dispatchReady(Now)) {
      send(Ready.RequestId, Ready.Upstream);
    }
  }

  request_scheduler Scheduler;
  std::mt19937 Random;
  std::uint32_t StallingEngines;
  double StallShare;
  bool Stalling = false;
  instant Now = Start;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, std::uint32_t> TeamById;
  std::map<std::uint64_t, sent_request> Sent;
  std::map<upstream_id, std::set<std::uint32_t>> Prefixes;
  std::map<upstream_id, instant> FreeAt;
  std::set<std::pair<instant, std::uint64_t>> FirstBytes;
  std::set<std::pair<instant, std::uint64_t>> Ends;
  std::set<std::uint64_t> HasBegun;
  std::map<std::uint32_t, std::uint64_t> Begun;
};

} // namespace

// Guards against a team that is refused because its prefix shares an engine
// with those of other teams, or has lost its engine, while a team with an
// engine of its own is served (FAIR).
TEST_CASE("teams get even shares wherever their prefixes are") {
  struct row {
    std::string What;
    std::uint32_t StallingEngines;
    double StallShare;
    bool PlaceApart;
  };
  const std::vector<row> Rows = {
      {"an engine for each team", 0, 0, true},
      {"prefixes share engines", 0, 0, false},
      {"one engine stalls on half of its prompts", 1, 0.5, true},
      {"two engines stall on half of their prompts", 2, 0.5, true},
      {"one engine stalls on all prompts", 1, 1, true},
      {"two engines stall on a tenth of their prompts", 2, 0.1, true},
  };
  constexpr std::uint32_t Teams = 4;
  for (const auto &Row : Rows) {
    for (std::uint32_t Seed = 1; Seed <= 4; ++Seed) {
      CAPTURE(Row.What, Seed);
      stalling_cell Cell(Row.StallingEngines, Row.StallShare, Seed,
                         Row.PlaceApart);
      Cell.play(Teams, Start + 4s);
      Cell.startStalling();
      for (int Window = 1; Window <= 3; ++Window) {
        CAPTURE(Window);
        (void)Cell.takeBegun();
        Cell.play(Teams, Start + 4s + Window * 6s);
        const auto Begun = Cell.takeBegun();
        REQUIRE(Begun.size() == Teams);
        const auto [Least, Most] =
            std::minmax_element(Begun.begin(), Begun.end(),
                                [](const auto &Left, const auto &Right) {
                                  return Left.second < Right.second;
                                });
        CAPTURE(Least->second, Most->second);
        CHECK(2 * Least->second >= Most->second);
      }
    }
  }
}
