// Measures the store for several numbers of teams and changes: the rate of
// applied log entries and the cost of snapshots, configuration updates and
// views. The last line of the output is one JSON object with all results.

#include "store/store.h"

#include "base/clock.h"
#include "base/digest.h"
#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::store;

namespace {

constexpr int ServiceCount = 12;
constexpr int FailureDomainCount = 40;
constexpr double ChangesPerDay = 18'000;
constexpr double SecondsPerDay = 86'400;
constexpr std::size_t MaxUpdateBytes = 60'000;
constexpr std::uint32_t Seed = 7;

/// Runs `Work` and returns the elapsed time.
template <class Function> double elapsedUs(Function Work) {
  const auto Start = monotonic_clock::now();
  Work();
  return static_cast<double>(toMicros(monotonic_clock::now() - Start));
}

/// Returns the minimum time of several runs, which other load on the machine
/// affects least.
template <class Function> double minElapsedUs(int Runs, Function Work) {
  double MinUs = elapsedUs(Work);
  for (int Run = 1; Run < Runs; ++Run) {
    MinUs = std::min(MinUs, elapsedUs(Work));
  }
  return MinUs;
}

/// Returns the number of heap bytes in use.
std::size_t allocatedBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// A state machine with the index of its last log entry.
struct store_fixture {
  state_machine Store;
  std::uint64_t LastIndex = 0;

  void put(const std::string &Name, std::uint64_t Version, resource_spec Spec) {
    const auto Applied =
        Store.apply(LastIndex + 1, encodeEntry(std::to_string(LastIndex), Name,
                                               Version, std::move(Spec)));
    ++LastIndex;
    if (Applied.Outcomes.at(0).Code != outcome_code::Ok) {
      fmt::print(stderr, "{}\n", describe(Applied.Outcomes[0]));
      std::exit(1);
    }
  }
  static std::string encodeEntry(std::string Id, const std::string &Name,
                                 std::uint64_t Version, resource_spec Spec) {
    return encodeBatch({1,
                        {makeCommand(put_command{std::move(Id), Name, Version,
                                                 std::move(Spec)})}});
  }
};

team makeTeam(int Number) {
  team Spec;
  Spec.ApiKeyHashes = {sha256Hex("key-" + std::to_string(Number))};
  Spec.Services = {"service-0", "service-" + std::to_string(1 + Number % 11)};
  return Spec;
}

/// Adds failure domains, services, teams and upstreams. There are five
/// upstreams for every four teams, as at the planned size.
void addResources(store_fixture &Fixture, int Teams) {
  for (int I = 0; I < FailureDomainCount; ++I) {
    Fixture.put("domain-" + std::to_string(I), 0,
                {failure_domain{"region", {}}});
  }
  for (int I = 0; I < ServiceCount; ++I) {
    service Spec;
    Spec.Kind = service_kind::Model;
    Spec.Model = "model-" + std::to_string(I);
    Fixture.put("service-" + std::to_string(I), 0, {Spec});
  }
  for (int I = 0; I < Teams; ++I) {
    Fixture.put("team-" + std::to_string(I), 0, {makeTeam(I)});
  }
  for (int I = 0; I < Teams * 5 / 4; ++I) {
    upstream Spec;
    Spec.Address = fmt::format("10.0.{}.{}:8000", I / 256, I % 256);
    Spec.FailureDomain = "domain-" + std::to_string(I % FailureDomainCount);
    Spec.Services = {"service-" + std::to_string(I % ServiceCount)};
    Spec.MaxConcurrent = 8;
    Fixture.put("upstream-" + std::to_string(I), 0, {Spec});
  }
}

/// Returns log entries that each change the weight of one team.
std::vector<std::string> makeWeightChanges(const store_fixture &Fixture,
                                           int Teams, int Changes) {
  std::mt19937 Random(Seed);
  std::vector<std::uint64_t> Versions(static_cast<std::size_t>(Teams), 1);
  std::vector<std::string> Entries;
  Entries.reserve(static_cast<std::size_t>(Changes));
  for (int I = 0; I < Changes; ++I) {
    const auto Number = Random() % static_cast<unsigned>(Teams);
    team Spec = makeTeam(static_cast<int>(Number));
    Spec.Weight = 1 + static_cast<std::uint32_t>(I % 9);
    Entries.push_back(store_fixture::encodeEntry(
        fmt::format("change-{}-{}", Fixture.LastIndex, I),
        "team-" + std::to_string(Number), Versions[Number]++, {Spec}));
  }
  return Entries;
}

/// Brings a replica up to date and returns the number of bytes sent.
std::size_t catchUp(config_source &Source, const state_machine &Store,
                    config_replica &Replica) {
  std::size_t Bytes = 0;
  while (Replica.currentRevision() != Store.currentRevision()) {
    // Encoding and decoding keeps the replica from sharing memory with the
    // source, as on a router.
    const auto Sent =
        encode(Source.makeUpdate(Store, Replica.position(), MaxUpdateBytes));
    Bytes += Sent.size();
    const auto Update = decode<config_update>(Sent);
    if (Update.has_error() || Replica.apply(Update.value()).has_error()) {
      std::exit(1);
    }
  }
  return Bytes;
}

nlohmann::json measureStore(int Teams, int Changes) {
  store_fixture Fixture;
  addResources(Fixture, Teams);
  config_source Source;
  config_replica Replica;
  const auto BeforeReplica = allocatedBytes();
  const auto FullListBytes = catchUp(Source, Fixture.Store, Replica);
  const auto ReplicaBytes = allocatedBytes() - BeforeReplica;
  const auto ViewBytes = [&Replica] {
    const auto Before = allocatedBytes();
    const config_view View(Replica);
    return allocatedBytes() - Before;
  }();
  const auto Entries = makeWeightChanges(Fixture, Teams, Changes);
  const double DecodeUs = elapsedUs([&Entries] {
    for (const auto &Entry : Entries) {
      if (decodeBatch(Entry).has_error()) {
        std::exit(1);
      }
    }
  });
  const double ApplyUs = elapsedUs([&] {
    for (const auto &Entry : Entries) {
      Fixture.Store.apply(++Fixture.LastIndex, Entry);
    }
  });
  const auto UpdateBytes = catchUp(Source, Fixture.Store, Replica);
  std::string Snapshot;
  const double SnapshotUs =
      minElapsedUs(3, [&] { Snapshot = Fixture.Store.snapshot(); });
  state_machine Restored;
  const double RestoreUs = minElapsedUs(3, [&] {
    if (Restored.restore(Snapshot).has_error()) {
      std::exit(1);
    }
  });
  const double ViewUs =
      minElapsedUs(9, [&] { const config_view View(Replica); });
  return {
      {"teams", Teams},
      {"upstreams", Teams * 5 / 4},
      {"changes", Changes},
      {"apply_per_s", std::round(Changes / ApplyUs * 1e6)},
      {"apply_to_decode", ApplyUs / DecodeUs},
      {"snapshot_bytes", Snapshot.size()},
      {"snapshot_ms", SnapshotUs / 1e3},
      {"restore_ms", RestoreUs / 1e3},
      {"restore_to_snapshot", RestoreUs / SnapshotUs},
      {"full_list_bytes", FullListBytes},
      {"replica_memory_bytes", ReplicaBytes},
      {"view_memory_bytes", ViewBytes},
      {"update_bytes_per_change", static_cast<double>(UpdateBytes) / Changes},
      {"view_ms", ViewUs / 1e3},
      {"view_core_percent", ViewUs / 1e6 * ChangesPerDay / SecondsPerDay * 100},
  };
}

} // namespace

int main() {
  nlohmann::json Rows = nlohmann::json::array();
  for (const int Teams : {16, 160, 1'600, 9'600}) {
    for (const int Changes : {1'000, 10'000}) {
      Rows.push_back(measureStore(Teams, Changes));
      fmt::print("{}\n", Rows.back().dump());
    }
  }
  const nlohmann::json Summary = {{"bench", "store"}, {"rows", Rows}};
  fmt::print("{}\n", Summary.dump());
}
