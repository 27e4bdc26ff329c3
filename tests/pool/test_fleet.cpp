#include "fleet_simulation.h"
#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace arbutus;
using namespace arbutus::pool;
using namespace arbutus::pool::testing;

namespace {

struct fleet_case {
  const char *Name;
  std::function<void(sim_options &)> Adjust;
  std::function<void(fleet_simulation &)> Arrange;
  /// Maximum time that a slot may be idle while requests wait.
  duration IdleBound;
};

/// Reuse of a freed slot takes a report and a grant. A recall before that
/// takes the same again, and each report waits for at most one batch window.
constexpr duration NoFailureIdle = 4 * MessageDelay + 3 * 1ms + 4 * Step;
/// A lost message is repeated within the report interval. Two may be lost.
constexpr duration LossyIdle = NoFailureIdle + 2 * 100ms;
/// A session ends 3.2 s after its last contact here. Load reports come every
/// 250 ms with data that is 150 ms old, and several may be inconclusive.
constexpr duration SessionIdle = 3200ms + 4 * 250ms;
/// A new grantor starts after 1 s and needs conclusive load reports.
constexpr duration TakeoverIdle = 1s + 4 * 250ms;

void keepOptions(sim_options & /*Options*/) {}
void noEvents(fleet_simulation & /*Simulation*/) {}
void lossy(sim_options &Options) {
  Options.Loss = 0.02;
  Options.Jitter = 3ms;
}
void flooded(sim_options &Options) {
  Options.Teams.push_back({3, 1, instant{} + 2s, instant{} + 7s, 0});
}
void startsCold(sim_options &Options) {
  Options.FirstLimit = 2;
  Options.GrowthPerSecond = 1;
}

const std::vector<fleet_case> &cases() {
  static const std::vector<fleet_case> Cases = {
      {"no fault", keepOptions, noEvents, NoFailureIdle},
      {"loss and reordering", lossy, noEvents, LossyIdle},
      {"grantor lost", keepOptions,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.stopGrantor(); });
       },
       TakeoverIdle},
      {"router ends", keepOptions,
       [](auto &Simulation) { Simulation.at(4s, [](auto &V) { V.kill(1); }); },
       SessionIdle},
      {"router restarts empty", keepOptions,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.kill(1); });
         Simulation.at(5s, [](auto &V) { V.restart(1); });
       },
       SessionIdle},
      {"router cut off briefly", keepOptions,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.cutOff(1); });
         Simulation.at(6s, [](auto &V) { V.rejoin(1); });
       },
       SessionIdle},
      {"router cut off and ended, rejoins", keepOptions,
       [](auto &Simulation) {
         Simulation.at(3s, [](auto &V) { V.cutOff(1); });
         Simulation.at(8s, [](auto &V) { V.rejoin(1); });
       },
       SessionIdle},
      {"one team floods", flooded, noEvents, NoFailureIdle},
      {"grantor lost and router ends", keepOptions,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) {
           V.stopGrantor();
           V.kill(1);
         });
       },
       SessionIdle},
      {"grantor lost while a router is cut off", lossy,
       [](auto &Simulation) {
         Simulation.at(3s, [](auto &V) { V.cutOff(2); });
         Simulation.at(3500ms, [](auto &V) { V.stopGrantor(); });
         Simulation.at(8s, [](auto &V) { V.rejoin(2); });
       },
       SessionIdle},
      {"grantor lost twice", keepOptions,
       [](auto &Simulation) {
         Simulation.at(3s, [](auto &V) { V.stopGrantor(); });
         Simulation.at(4100ms, [](auto &V) { V.stopGrantor(); });
       },
       TakeoverIdle + TakeoverIdle},
      {"failure domain leaves and returns", keepOptions,
       [](auto &Simulation) {
         Simulation.at(3s, [](auto &V) { V.setUsable(1, false); });
         Simulation.at(3s, [](auto &V) { V.setUsable(4, false); });
         Simulation.at(6s, [](auto &V) { V.setUsable(1, true); });
         Simulation.at(6s, [](auto &V) { V.setUsable(4, true); });
       },
       NoFailureIdle},
      {"all upstreams start cold", startsCold,
       [](auto &Simulation) {
         for (auto &[Id, Upstream] : Simulation.Upstreams) {
           Upstream.ColdSince = instant{};
         }
       },
       NoFailureIdle},
      {"two upstreams restart cold", startsCold,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.turnCold(2, false); });
         Simulation.at(4200ms, [](auto &V) { V.turnCold(5, false); });
       },
       NoFailureIdle},
      {"two upstreams turn cold silently", startsCold,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.turnCold(2, true); });
         Simulation.at(4s, [](auto &V) { V.turnCold(3, true); });
       },
       NoFailureIdle},
      {"upstream cold while the grantor is lost", startsCold,
       [](auto &Simulation) {
         Simulation.at(4s, [](auto &V) { V.turnCold(2, false); });
         Simulation.at(4100ms, [](auto &V) { V.stopGrantor(); });
       },
       TakeoverIdle},
      {"upstream fails", keepOptions,
       [](auto &Simulation) {
         Simulation.at(
             4s, [](auto &V) { V.Upstreams[upstream_id{2}].Failing = true; });
         Simulation.at(
             7s, [](auto &V) { V.Upstreams[upstream_id{2}].Failing = false; });
       },
       NoFailureIdle},
  };
  return Cases;
}

std::unique_ptr<fleet_simulation>
runCase(const fleet_case &Case, std::uint32_t Routers, std::uint64_t Seed) {
  sim_options Options;
  Options.Seed = Seed;
  Options.Routers = Routers;
  Options.Length = 10s;
  Options.Teams = defaultTeams();
  Case.Adjust(Options);
  auto Simulation =
      std::make_unique<fleet_simulation>(Options, generateRequests(Options));
  Case.Arrange(*Simulation);
  Simulation->run();
  return Simulation;
}

/// Results of one case with one number of routers, over all seeds.
struct summary {
  double Gap = 0, ReferenceGap = 0;
  duration MaxIdle{}, MaxStarvation{};
  std::vector<std::string> Violations;
};

constexpr std::uint64_t Seeds = 6;

/// Runs each simulation once for all tests.
const summary &results(std::size_t Case, std::uint32_t Routers) {
  static std::map<std::pair<std::size_t, std::uint32_t>, summary> Known;
  const auto [Found, New] = Known.try_emplace({Case, Routers});
  auto &Summary = Found->second;
  for (std::uint64_t Seed = 1; New && Seed <= Seeds; ++Seed) {
    const auto Simulation = runCase(cases()[Case], Routers, Seed);
    Summary.Gap = std::max(Summary.Gap, Simulation->Gap.Largest);
    Summary.ReferenceGap =
        std::max(Summary.ReferenceGap, Simulation->Reference.Gap.Largest);
    Summary.MaxIdle = std::max(Summary.MaxIdle, Simulation->Idle.Longest);
    Summary.MaxStarvation =
        std::max(Summary.MaxStarvation, Simulation->MaxStarvation);
    for (const auto &Violation : Simulation->Violations) {
      Summary.Violations.push_back("seed " + std::to_string(Seed) + " " +
                                   Violation);
    }
  }
  return Summary;
}

/// Target for the gap as a multiple of the gap of the reference scheduler.
constexpr double MaxGapRatio = 1.25;

void checkGaps(bool Takeover) {
  for (std::size_t I = 0; I < cases().size(); ++I) {
    const auto &Case = cases()[I];
    const bool Lost =
        std::string(Case.Name).find("grantor") != std::string::npos;
    for (const std::uint32_t Routers : {3, 12, 24}) {
      if (Lost == Takeover) {
        INFO(Case.Name << ", " << Routers << " routers, seeds 1 to " << Seeds);
        const auto &Summary = results(I, Routers);
        CHECK(Summary.Gap <= MaxGapRatio * Summary.ReferenceGap);
      }
    }
  }
}

std::string goldenLines() {
  sim_options Options;
  Options.Upstreams = 2;
  Options.MaxLimit = 3;
  Options.FirstLimit = 1;
  Options.Length = 8s;
  Options.Teams = {{0.9, 1, {}, instant{} + 5s, 0},
                   {0.6, 2, instant{} + 1s, instant{} + 5s, 1},
                   {0.1, 1, {}, instant::max(), {}}};
  fleet_simulation Simulation(Options, generateRequests(Options));
  Simulation.at(2s, [](auto &Simulation) { Simulation.turnCold(1, false); });
  Simulation.at(3s, [](auto &Simulation) { Simulation.stopGrantor(); });
  Simulation.at(5s, [](auto &Simulation) {
    Simulation.Upstreams[upstream_id{2}].Failing = true;
  });
  Simulation.at(6s, [](auto &Simulation) {
    Simulation.Upstreams[upstream_id{2}].Failing = false;
  });
  std::ostringstream Out;
  Simulation.OnDecisions = [&](instant Now,
                               const grantor_decisions &Decisions) {
    for (const auto &Item : Decisions.Grants) {
      Out << toMicros(Now) << "us granted team="
          << (Item.Team ? std::to_string(number(*Item.Team)) : "none")
          << " upstream=" << number(Item.Upstream)
          << " node=" << number(Item.Node) << " count=" << Item.Count
          << " reason=" << nameOf(Item.Reason) << "\n";
    }
    for (const auto &Item : Decisions.LimitChanges) {
      Out << toMicros(Now) << "us limit upstream=" << number(Item.Upstream)
          << " from=" << Item.OldLimit << " to=" << Item.NewLimit
          << " cause=" << nameOf(Item.Cause) << "\n";
    }
    for (const auto &Item : Decisions.BreakerChanges) {
      Out << toMicros(Now) << "us breaker upstream=" << number(Item.Upstream)
          << " state=" << nameOf(Item.State) << "\n";
    }
    if (Decisions.Contended) {
      Out << toMicros(Now)
          << "us contended=" << (*Decisions.Contended ? "true" : "false")
          << "\n";
    }
  };
  Simulation.run();
  return Out.str();
}

} // namespace

// Guards against grants beyond a limit, dispatch without a lease or to an
// unusable upstream, and overload of a cold upstream, under every fault.
TEST_CASE("slots stay within limits under every fault") {
  for (std::size_t I = 0; I < cases().size(); ++I) {
    for (const std::uint32_t Routers : {3, 12, 24}) {
      std::string Violations;
      for (const auto &Violation : results(I, Routers).Violations) {
        Violations += Violation + "\n";
      }
      INFO(cases()[I].Name << ", " << Routers << " routers\n" << Violations);
      CHECK(Violations.empty());
    }
  }
}

// Guards against slots that stay idle while requests wait.
TEST_CASE("no slot is idle beyond the bound while requests wait") {
  for (std::size_t I = 0; I < cases().size(); ++I) {
    for (const std::uint32_t Routers : {3, 12, 24}) {
      INFO(cases()[I].Name << ", " << Routers << " routers");
      CHECK(results(I, Routers).MaxIdle <= cases()[I].IdleBound);
    }
  }
}

// Guards against a team that waits while others are served. The bound is the
// time without slots plus the longest request (1.5 s) and a margin.
TEST_CASE("no team starves") {
  for (std::size_t I = 0; I < cases().size(); ++I) {
    for (const std::uint32_t Routers : {3, 12, 24}) {
      INFO(cases()[I].Name << ", " << Routers << " routers");
      CHECK(results(I, Routers).MaxStarvation <= cases()[I].IdleBound + 2s);
    }
  }
}

// Guards against a gap in service between teams that grows with the number of
// routers. "naive" is the central reference scheduler.
TEST_CASE("the gap stays near the naive one") { checkGaps(false); }

// Guards against teams that gain or lose service when the grantor changes.
TEST_CASE("the gap stays near the naive one over a takeover") {
  checkGaps(true);
}

// Guards against a gap in service that grows with time.
TEST_CASE("the gap does not grow with time") {
  double Largest = 0, Reference = 0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    sim_options Options;
    Options.Seed = Seed;
    Options.Routers = 12;
    Options.Length = 60s;
    Options.Teams = defaultTeams();
    fleet_simulation Simulation(Options, generateRequests(Options));
    Simulation.run();
    Largest = std::max(Largest, Simulation.Gap.Largest);
    Reference = std::max(Reference, Simulation.Reference.Gap.Largest);
  }
  CHECK(Largest <= MaxGapRatio * Reference);
}

// Guards against messages that exceed the budget of 23 KB/s per node at 110
// grants/s. Counts payloads only, without the frame header.
TEST_CASE("messages keep to the byte budget") {
  sim_options Options;
  Options.Routers = 12;
  Options.Upstreams = 4;
  Options.Teams = defaultTeams();
  fleet_simulation Simulation(Options, generateRequests(Options));
  Simulation.run();
  const double Bytes =
      static_cast<double>(Simulation.ReportBytes + Simulation.GrantBytes);
  const auto PerGrant = Bytes / static_cast<double>(Simulation.Granted);
  WARN("payload per grant " << PerGrant << " B, at 110 grants/s "
                            << PerGrant * 110 << " B/s");
  CHECK(PerGrant * 110 <= 23000);
}

// Guards against unintended changes of any decision. To write the file again:
// ARBUTUS_WRITE_GOLDEN=1 build/test_pool "a whole session as text"
TEST_CASE("a whole session as text") {
  const auto Path =
      std::string(ARBUTUS_SOURCE_DIR) + "/tests/golden/pool_session.txt";
  const auto Lines = goldenLines();
  if (std::getenv("ARBUTUS_WRITE_GOLDEN") != nullptr) {
    std::ofstream(Path) << Lines;
  }
  std::ifstream File(Path);
  std::stringstream Expected;
  Expected << File.rdbuf();
  CHECK(Lines == Expected.str());
}
