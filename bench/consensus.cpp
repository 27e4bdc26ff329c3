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

int main(int Count, char **Words) {
  const auto Arguments =
      docopt::docopt(Usage, {Words + 1, Words + Count}, true);
  const auto First =
      static_cast<std::uint64_t>(Arguments.at("--seed").asLong());
  const auto Schedules =
      static_cast<std::uint64_t>(Arguments.at("--schedules").asLong());
  fake::schedule_result Sum;
  std::uint64_t Violations = 0;
  nlohmann::ordered_json FirstViolating = nullptr;
  for (auto Seed = First; Seed < First + Schedules; ++Seed) {
    fake::fault_schedule_runner Explorer(Seed);
    if (Arguments.at("--trace").asBool()) {
      Explorer.cluster().Trace = [](const std::string &Line) {
        std::cout << Line << "\n";
      };
    }
    const auto Result = Explorer.run();
    Sum.Steps += Result.Steps;
    Sum.LeaderTerms += Result.LeaderTerms;
    Sum.Acknowledged += Result.Acknowledged;
    Sum.Reads += Result.Reads;
    Sum.SnapshotRestores += Result.SnapshotRestores;
    Sum.MembershipChanges += Result.MembershipChanges;
    Sum.Crashes += Result.Crashes;
    if (!Result.Violation.empty()) {
      std::cout << "seed " << Seed << ": " << Result.Violation << "\n";
      if (++Violations == 1) {
        FirstViolating = Seed;
      }
    }
  }
  const nlohmann::ordered_json Summary = {
      {"schedules", Schedules},
      {"steps", Sum.Steps},
      {"violations", Violations},
      {"first_violating_seed", FirstViolating},
      {"terms", Sum.LeaderTerms},
      {"acknowledged", Sum.Acknowledged},
      {"reads", Sum.Reads},
      {"restores", Sum.SnapshotRestores},
      {"changes", Sum.MembershipChanges},
      {"crashes", Sum.Crashes}};
  std::cout << Summary.dump() << "\n";
  return Violations == 0 ? 0 : 1;
}
