#include "fake_cluster.h"
#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

using namespace arbutus;
using namespace arbutus::consensus;

namespace {

/// Runs elections, proposals, a lost leader, a replaced data directory and a
/// lagging member that needs a snapshot. Returns the trace.
std::string session() {
  std::ostringstream Lines;
  fake::cluster_options Options;
  fake::fake_cluster Cluster(Options, 42);
  Cluster.Trace = [&Lines](const std::string &Line) { Lines << Line << "\n"; };
  const auto Elect = [&Cluster] {
    return Cluster.run(20s, [&Cluster] { return Cluster.leader() != nullptr; });
  };
  const auto Commit = [&Cluster](std::uint64_t Count) {
    const auto Wanted = Cluster.Acknowledged + Count;
    Cluster.propose(*Cluster.leader(), Count);
    return Cluster.run(
        5s, [&Cluster, Wanted] { return Cluster.Acknowledged >= Wanted; });
  };
  REQUIRE(Elect());
  REQUIRE(Commit(3));
  auto &Lost = *Cluster.leader();
  Cluster.crash(Lost);
  REQUIRE(Elect());
  REQUIRE(Commit(8));
  Cluster.saveSnapshot(*Cluster.leader());
  Cluster.loseData(Lost);
  Cluster.start(Lost);
  Cluster.run(300ms);
  for (const auto Kind :
       {membership_change_kind::AddLearner, membership_change_kind::Promote}) {
    REQUIRE(Cluster.run(5s, [&Cluster, &Lost, Kind] {
      return !Cluster.change(*Cluster.leader(), Kind, Lost);
    }));
  }
  Cluster.run(300ms);
  REQUIRE(Lost.Raft->status().IsVoter);
  Cluster.traceStatus();
  REQUIRE(Cluster.Checks.Violation.empty());
  return Lines.str();
}

} // namespace

// Guards against changes of behaviour that no other test checks. Set
// ARBUTUS_WRITE_GOLDEN to rewrite the file after an intended change.
TEST_CASE("a seeded session produces the recorded trace") {
  const std::string Path =
      std::string(ARBUTUS_SOURCE_DIR) + "/tests/golden/consensus_session.txt";
  const auto Lines = session();
  if (std::getenv("ARBUTUS_WRITE_GOLDEN") != nullptr) {
    std::ofstream(Path) << Lines;
  }
  std::ifstream File(Path);
  std::ostringstream Expected;
  Expected << File.rdbuf();
  CHECK(Lines == Expected.str());
}
