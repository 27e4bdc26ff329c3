#ifndef ARBUTUS_TESTS_CONSENSUS_FAKE_DISK_H
#define ARBUTUS_TESTS_CONSENSUS_FAKE_DISK_H

#include "consensus/consensus.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace arbutus::consensus::fake {

/// A data directory in memory. Writes are staged until a sync; a crash keeps
/// any prefix of the staged writes.
class fake_data_directory {
public:
  recovered_state SyncedState;
  recovered_state
      CurrentState; ///< with the staged writes; equals the node's memory

  /// Stages one output's writes in their order.
  void stage(const disk_writes &Writes) {
    const auto Add = [this](std::function<void(recovered_state &)> Part) {
      Part(CurrentState);
      Staged.push_back(std::move(Part));
    };
    if (Writes.HardState) {
      Add([Hard = *Writes.HardState](auto &State) { State.HardState = Hard; });
    }
    if (Writes.Snapshot) {
      Add([Taken = *Writes.Snapshot](auto &S) { S.Snapshot = Taken; });
    }
    if (Writes.ResetLog) {
      Add([](auto &State) { State.Entries.clear(); });
    }
    if (Writes.TruncateFrom) {
      Add([From = *Writes.TruncateFrom](auto &State) {
        erase(State, [From](const log_entry &E) { return E.Index >= From; });
      });
    }
    for (const auto &Entry : Writes.EntriesToAppend) {
      Add([Entry](auto &State) { State.Entries.push_back(Entry); });
    }
    if (Writes.CompactThrough) {
      Add([Last = *Writes.CompactThrough](auto &State) {
        erase(State, [Last](const log_entry &E) { return E.Index <= Last; });
      });
    }
  }

  void sync() { apply(Staged.size()); }

  /// Loses a random part of the staged writes, then restarts from the rest.
  void crash(std::mt19937_64 &Random) {
    apply(Random() % (Staged.size() + 1));
    Staged.clear();
    if (!logExtendsSnapshot()) {
      SyncedState.Entries.clear();
    }
    CurrentState = SyncedState;
  }

  /// Saves and syncs a snapshot of the node's own state machine.
  void saveSnapshot(const snapshot &Snapshot) {
    SyncedState.Snapshot = Snapshot;
    CurrentState.Snapshot = Snapshot;
  }

  void loseData() {
    SyncedState = CurrentState = {};
    Staged.clear();
  }

private:
  template <class Predicate>
  static void erase(recovered_state &State, Predicate Matches) {
    auto &Entries = State.Entries;
    Entries.erase(std::remove_if(Entries.begin(), Entries.end(), Matches),
                  Entries.end());
  }

  void apply(std::size_t Count) {
    for (std::size_t Part = 0; Part < Count; ++Part) {
      Staged[Part](SyncedState);
    }
    Staged.erase(Staged.begin(),
                 Staged.begin() + static_cast<std::ptrdiff_t>(Count));
  }

  /// The rule of `durable_log` for a crash between snapshot and log reset.
  [[nodiscard]] bool logExtendsSnapshot() const {
    const auto &Entries = SyncedState.Entries;
    if (!SyncedState.Snapshot || Entries.empty()) {
      return true;
    }
    const auto &Meta = SyncedState.Snapshot->Meta;
    const auto First = Entries.front().Index;
    return First == Meta.Index + 1 ||
           (Entries.back().Index >= Meta.Index &&
            Entries[Meta.Index - First].Term == Meta.Term);
  }

  std::vector<std::function<void(recovered_state &)>> Staged;
};

} // namespace arbutus::consensus::fake

#endif
