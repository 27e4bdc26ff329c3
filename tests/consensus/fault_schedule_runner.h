#ifndef ARBUTUS_TESTS_CONSENSUS_FAULT_SCHEDULE_RUNNER_H
#define ARBUTUS_TESTS_CONSENSUS_FAULT_SCHEDULE_RUNNER_H

#include "fake_cluster.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

namespace arbutus::consensus::fake {

/// Counters of one schedule and the first failed check.
struct schedule_result {
  std::string Violation;
  std::uint64_t Steps = 0;
  std::uint64_t LeaderTerms = 0; ///< terms that had a leader
  std::uint64_t Acknowledged = 0;
  std::uint64_t Reads = 0;
  std::uint64_t SnapshotRestores = 0;
  std::uint64_t MembershipChanges = 0; ///< accepted ones
  std::uint64_t Crashes = 0;
};

/// Adds the counts of one schedule to a total.
inline void addCounts(schedule_result &Total, const schedule_result &Result) {
  Total.Steps += Result.Steps;
  Total.LeaderTerms += Result.LeaderTerms;
  Total.Acknowledged += Result.Acknowledged;
  Total.Reads += Result.Reads;
  Total.SnapshotRestores += Result.SnapshotRestores;
  Total.MembershipChanges += Result.MembershipChanges;
  Total.Crashes += Result.Crashes;
}

/// Probability per 1000 that each fault begins in one step of simulated time.
struct fault_rates_per_mille {
  std::uint32_t Crash = 0;
  std::uint32_t CrashUnsynced = 0; ///< of a node with unsynced writes
  std::uint32_t LeaderLoss = 0;    ///< crash or partition of the leader
  std::uint32_t PowerLoss = 0;     ///< all nodes at once
  std::uint32_t Pause = 0;
  std::uint32_t Partition = 0;
  std::uint32_t BlockLink = 0; ///< of one direction between two nodes
  std::uint32_t DataLoss = 0;
  std::uint32_t StorageFailure = 0;
  std::uint32_t Change = 0;
  std::uint32_t Snapshot = 0;
  std::uint32_t Propose = 0;
  std::uint32_t Recovery = 0; ///< end of a fault of one node
};

/// Runs one fault schedule that is drawn from a seed.
class fault_schedule_runner {
public:
  explicit fault_schedule_runner(std::uint64_t Seed)
      : Random(Seed), Rates(drawRates()), Cluster(drawOptions(), Seed) {}

  /// Injects faults, then ends all of them and expects progress. Schedules that
  /// lose data directories are checked for safety only, because the remaining
  /// voters need not be a majority.
  schedule_result run() {
    constexpr int FaultySteps = 2000; // about 11 s, several elections
    for (int Step = 0; Step < FaultySteps && Cluster.Checks.Violation.empty();
         ++Step) {
      Cluster.advance();
      injectFaults();
      runWorkload();
    }
    Cluster.traceStatus();
    Cluster.endAllFaults();
    const auto Before = Cluster.Acknowledged;
    bool Progress = Cluster.run(30s, [this, Before] {
      auto *Leader = Cluster.leader();
      if (Leader != nullptr && Cluster.happens(50)) {
        Cluster.propose(*Leader, 1);
      }
      return Cluster.Acknowledged > Before;
    });
    Cluster.traceStatus();
    if (!Progress && !DataLost) {
      Cluster.Checks.fail("no progress after all faults ended");
    }
    Result.Violation = Cluster.Checks.Violation;
    Result.Steps = Cluster.Steps;
    Result.LeaderTerms = Cluster.Checks.leaderTerms();
    Result.Acknowledged = Cluster.Acknowledged;
    Result.Reads = Cluster.Reads;
    Result.SnapshotRestores = Cluster.SnapshotRestores;
    return Result;
  }

  fake_cluster &cluster() { return Cluster; }

private:
  std::uint32_t upTo(std::uint32_t Max) {
    return static_cast<std::uint32_t>(Random() % (Max + 1));
  }

  /// Each kind of fault is absent in about half of the schedules, so that
  /// faults occur alone as well as together.
  std::uint32_t maybeUpTo(std::uint32_t Max) {
    return upTo(1) == 0 ? 0 : upTo(Max);
  }

  fault_rates_per_mille drawRates() {
    fault_rates_per_mille Drawn;
    Drawn.Crash = maybeUpTo(15);
    Drawn.CrashUnsynced = maybeUpTo(100);
    Drawn.LeaderLoss = maybeUpTo(60);
    Drawn.Recovery = 10 + upTo(90);
    Drawn.PowerLoss = maybeUpTo(3);
    Drawn.Pause = maybeUpTo(10);
    Drawn.Partition = maybeUpTo(10);
    Drawn.BlockLink = maybeUpTo(15);
    Drawn.DataLoss = upTo(3) == 0 ? upTo(3) : 0;
    Drawn.StorageFailure = maybeUpTo(3);
    Drawn.Change = maybeUpTo(150);
    Drawn.Snapshot = maybeUpTo(30);
    Drawn.Propose = 1 + upTo(upTo(1) == 0 ? 5 : 170);
    return Drawn;
  }

  cluster_options drawOptions() {
    cluster_options Drawn;
    Drawn.Voters = 1 + upTo(4);
    Drawn.Nodes = Drawn.Voters + upTo(2);
    Drawn.LossPerMille = maybeUpTo(250);
    Drawn.DuplicatesPerMille = maybeUpTo(200);
    Drawn.MaxDelayMillis = upTo(1) == 0 ? 2 : upTo(300);
    Drawn.MaxSyncMillis = upTo(1) == 0 ? 2 : upTo(100);
    Drawn.ClockSpread = upTo(1) == 0 ? 0 : 0.1;
    Drawn.TrailingEntries = upTo(5);
    Drawn.MaxAppendEntries = upTo(1) == 0 ? 1 : 8;
    return Drawn;
  }

  /// Selects leaders more often, because most rules guard a change of leader.
  fake_node &target() {
    auto *Leader = Cluster.leader();
    return Leader != nullptr && Cluster.happens(300) ? *Leader : anyNode();
  }

  fake_node &anyNode() {
    auto Position = Cluster.Nodes.begin();
    std::advance(Position, Cluster.below(Cluster.Nodes.size()));
    return Position->second;
  }

  void injectFaults() {
    auto &Node = target();
    if (Node.Raft && Cluster.happens(Rates.Crash)) {
      ++Result.Crashes;
      Cluster.crash(Node);
    }
    injectLeaderFault();
    crashUnsyncedNodes();
    if (Cluster.happens(Rates.PowerLoss)) {
      for (auto &[Id, Each] : Cluster.Nodes) {
        if (Each.Raft) {
          ++Result.Crashes;
          Cluster.crash(Each);
        }
      }
    }
    if (Node.Raft && !Node.Paused && Cluster.happens(Rates.StorageFailure)) {
      Cluster.failStorage(Node);
    }
    if (!Node.Raft && Cluster.happens(Rates.DataLoss)) {
      DataLost = true;
      Cluster.loseData(Node);
    }
    if (Node.Raft && !Node.Paused && Cluster.happens(Rates.Pause)) {
      Node.Paused = true;
    }
    if (Cluster.happens(Rates.Partition)) {
      Node.Partitioned = true;
    }
    if (Cluster.happens(Rates.BlockLink)) {
      Cluster.BlockedLinks.emplace(target().Id, anyNode().Id);
    }
    endFaults();
  }

  void injectLeaderFault() {
    auto *Leader = Cluster.leader();
    if (Leader == nullptr || !Cluster.happens(Rates.LeaderLoss)) {
      return;
    }
    if (Cluster.happens(500)) {
      ++Result.Crashes;
      Cluster.crash(*Leader);
    } else {
      Leader->Partitioned = true;
    }
  }

  /// Crashes nodes between a write and its sync. They restart at once or later.
  void crashUnsyncedNodes() {
    for (auto &[Id, Node] : Cluster.Nodes) {
      const bool Writes =
          std::any_of(Node.UnsyncedOutputs.begin(), Node.UnsyncedOutputs.end(),
                      [](const output &Out) { return !Out.Writes.empty(); });
      if (Writes && Cluster.happens(Rates.CrashUnsynced)) {
        ++Result.Crashes;
        Cluster.crash(Node);
        if (Cluster.happens(500)) {
          Cluster.start(Node);
        }
      }
    }
  }

  void endFaults() {
    auto &Node = anyNode();
    if (!Cluster.happens(Rates.Recovery)) {
      return;
    }
    Node.Partitioned = false;
    if (Cluster.happens(200)) {
      Cluster.BlockedLinks.clear();
    }
    if (Node.Raft && Node.Raft->status().Role == role::StorageFailed) {
      Cluster.crash(Node);
    }
    if (!Node.Raft) {
      Cluster.start(Node);
    } else if (Node.Paused) {
      Cluster.resume(Node);
    }
  }

  /// Simulates clients, operators and the owner of the state machine.
  void runWorkload() {
    for (auto &[Id, Node] : Cluster.Nodes) {
      if (!Node.Raft || Node.Paused) {
        continue;
      }
      const bool Leads = Node.Raft->status().Role == role::Leader;
      if (Leads && Cluster.happens(Rates.Propose)) {
        Cluster.propose(Node, 1 + Cluster.below(12));
      }
      if (Leads && Cluster.happens(Rates.Change)) {
        changeMembers(Node);
      }
      if (Cluster.happens(Rates.Snapshot)) {
        Cluster.saveSnapshot(Node);
      }
    }
  }

  void changeMembers(fake_node &Leader) {
    const auto Kind = static_cast<membership_change_kind>(Cluster.below(3));
    const auto Rejected = Cluster.change(Leader, Kind, anyNode());
    Result.MembershipChanges += Rejected ? 0 : 1;
  }

  std::mt19937_64 Random;
  fault_rates_per_mille Rates;
  fake_cluster Cluster;
  schedule_result Result;
  bool DataLost = false;
};

} // namespace arbutus::consensus::fake

#endif
