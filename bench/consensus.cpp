#include "../tests/consensus/fault_schedule_runner.h"
#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <iostream>
#include <string>

using namespace arbutus::consensus;

namespace {

constexpr const char *Usage =
    R"(Runs seeded schedules of faults against the consensus module.

Usage: bench_consensus [--seed N] [--schedules N] [--trace]

Options:
  --seed N       Seed of the first schedule [default: 1].
  --schedules N  Number of schedules [default: 10000].
  --trace        Print what every node does, for few schedules.
)";

} // namespace

int main(int Argc, char **Argv) {
  const auto Options = docopt::docopt(Usage, {Argv + 1, Argv + Argc}, true);
  const auto FirstSeed =
      static_cast<std::uint64_t>(Options.at("--seed").asLong());
  const auto Schedules =
      static_cast<std::uint64_t>(Options.at("--schedules").asLong());
  fake::schedule_result Totals;
  std::uint64_t Violations = 0;
  nlohmann::ordered_json FirstViolatingSeed = nullptr;
  for (auto Seed = FirstSeed; Seed < FirstSeed + Schedules; ++Seed) {
    fake::fault_schedule_runner Runner(Seed);
    if (Options.at("--trace").asBool()) {
      Runner.cluster().Trace = [](const std::string &Line) {
        std::cout << Line << "\n";
      };
    }
    const auto Result = Runner.run();
    fake::addCounts(Totals, Result);
    if (!Result.Violation.empty()) {
      std::cout << "seed " << Seed << ": " << Result.Violation << "\n";
      if (++Violations == 1) {
        FirstViolatingSeed = Seed;
      }
    }
  }
  const nlohmann::ordered_json Summary = {
      {"schedules", Schedules},
      {"steps", Totals.Steps},
      {"violations", Violations},
      {"first_violating_seed", FirstViolatingSeed},
      {"terms", Totals.LeaderTerms},
      {"acknowledged", Totals.Acknowledged},
      {"reads", Totals.Reads},
      {"restores", Totals.SnapshotRestores},
      {"changes", Totals.MembershipChanges},
      {"crashes", Totals.Crashes}};
  std::cout << Summary.dump() << "\n";
  return Violations == 0 ? 0 : 1;
}
