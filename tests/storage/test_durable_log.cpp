#include "consensus/consensus.h"
#include "memory_files.h"
#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <random>

using namespace arbutus;
using namespace arbutus::consensus;
using namespace arbutus::storage;
using fake::memory_files;

namespace {

const std::string LogFile = "/d/log/00000000000000000001.segment";

std::string segmentFile(std::uint64_t FirstIndex) {
  const auto Number = std::to_string(FirstIndex);
  return "/d/log/" + std::string(20 - Number.size(), '0') + Number + ".segment";
}

durable_log_options optionsFor(bool Bootstrap) {
  durable_log_options Options;
  Options.Directory = "/d";
  Options.Node = node_id{1};
  Options.Bootstrap = Bootstrap;
  Options.InitialVoters = bootstrapVoters({node_id{1}});
  Options.NewDirectoryId = data_directory_id{99};
  return Options;
}

std::vector<log_entry> entries(std::uint64_t First, std::uint64_t Last,
                               std::uint64_t Term) {
  std::vector<log_entry> Entries;
  for (auto Index = First; Index <= Last; ++Index) {
    Entries.push_back({Index, Term, entry_kind::Proposal,
                       "payload " + std::to_string(Index)});
  }
  return Entries;
}

disk_writes appends(std::vector<log_entry> Entries) {
  disk_writes Writes;
  Writes.EntriesToAppend = std::move(Entries);
  return Writes;
}

snapshot snapshotAt(std::uint64_t Index, std::uint64_t Term) {
  return {
      {Index, Term, bootstrapVoters({node_id{1}})},
      std::make_shared<const std::string>("state " + std::to_string(Index))};
}

/// Opens a directory; fails the test on an error.
open_result reopen(memory_files &Files, bool Bootstrap = false,
                   std::size_t SegmentBytes = DefaultSegmentBytes) {
  auto Options = optionsFor(Bootstrap);
  Options.SegmentBytes = SegmentBytes;
  auto Opened = durable_log::open(Options, Files.operations());
  if (!Opened) {
    FAIL(nameOf(Opened.error().Code)
         << " " << Opened.error().File << " " << Opened.error().Detail);
  }
  return std::move(Opened).value();
}

std::string failure(memory_files &Files, const durable_log_options &Options) {
  const auto Opened = durable_log::open(Options, Files.operations());
  return Opened ? "" : std::string(nameOf(Opened.error().Code));
}

std::uint64_t lastIndex(const open_result &Opened) {
  const auto &Entries = Opened.Recovered.Entries;
  return Entries.empty() ? 0 : Entries.back().Index;
}

} // namespace

// Guards against a voter that loses its vote or entries, and against one that
// mistakes a lost data directory for a first start and votes again.
TEST_CASE("a directory keeps its identity, vote and entries") {
  memory_files Files;
  {
    auto First = reopen(Files, true);
    CHECK(First.DirectoryId == BootstrapDirectoryId);
    CHECK_FALSE(First.DirectoryInitialized);
    CHECK(First.Recovered.HardState.Term == 1);
    CHECK(failure(Files, optionsFor(false)) == "locked");
    disk_writes Writes = appends(entries(2, 4, 7));
    Writes.HardState = hard_state{7, node_id{3}};
    REQUIRE(First.Log.write(Writes));
    REQUIRE(First.Log.sync());
  }
  CHECK(failure(Files, optionsFor(true)) == "already_started");
  auto Foreign = optionsFor(false);
  Foreign.Node = node_id{2};
  CHECK(failure(Files, Foreign) == "wrong_node");
  {
    const auto Again = reopen(Files);
    CHECK(Again.Recovered.HardState == hard_state{7, node_id{3}});
    REQUIRE(Again.Recovered.Entries.size() == 4);
    CHECK(Again.Recovered.Entries[3] == entries(4, 4, 7).front());
  }
  memory_files Empty;
  {
    const auto Lost = reopen(Empty);
    CHECK(Lost.DirectoryInitialized);
    CHECK(Lost.DirectoryId == data_directory_id{99});
    CHECK(Lost.Recovered.Entries.empty());
  }
  CHECK_FALSE(reopen(Empty).DirectoryInitialized);
}

// Guards against acknowledged entries that are removed as a torn tail, and
// against damaged entries that are returned.
TEST_CASE("damage to the data directory is repaired or reported") {
  struct row {
    std::string Name;
    std::function<void(memory_files &)> Damage;
    std::string Failure;
    std::uint64_t Last;
  };
  // Entries 1, 2 to 9 and 10 to 12, each group with its own sync.
  const std::size_t RecordBytes = 56 + std::string("payload 10").size();
  const auto Flip = [](const std::string &Path, std::size_t FromEnd) {
    return [Path, FromEnd](memory_files &Files) {
      auto &Content = Files.content(Path);
      Content[Content.size() - FromEnd] ^= 1;
    };
  };
  const auto Shorten = [](std::size_t Bytes) {
    return [Bytes](memory_files &Files) {
      auto &Content = Files.content(LogFile);
      Content.resize(Content.size() - Bytes);
    };
  };
  const auto Remove = [](const std::string &Path) {
    return [Path](memory_files &Files) { Files.remove(Path); };
  };
  const std::vector<row> Rows = {
      {"nothing", [](memory_files &) {}, "", 12},
      {"one byte missing", Shorten(1), "", 11},
      {"one record missing", Shorten(RecordBytes), "", 11},
      {"only a part of a header left", Shorten(RecordBytes - 20), "", 11},
      {"last record damaged", Flip(LogFile, 1), "", 11},
      {"header of the last record damaged", Flip(LogFile, RecordBytes), "", 11},
      {"whole last group damaged", Flip(LogFile, 3 * RecordBytes), "", 9},
      {"middle damaged", Flip(LogFile, 3 * RecordBytes + 1), "corrupt", 0},
      {"first record damaged",
       [](memory_files &Files) { Files.content(LogFile)[60] ^= 1; }, "corrupt",
       0},
      {"segment missing", Remove(LogFile), "corrupt", 0},
      {"hard state damaged", Flip("/d/hard_state", 1), "corrupt", 0},
      {"hard state missing", Remove("/d/hard_state"), "corrupt", 0},
      {"identity damaged", Flip("/d/identity", 1), "corrupt", 0},
      {"identity missing", Remove("/d/identity"), "identity_missing", 0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    memory_files Files;
    {
      auto Opened = reopen(Files, true);
      REQUIRE(Opened.Log.write(appends(entries(2, 9, 1))));
      REQUIRE(Opened.Log.sync());
      REQUIRE(Opened.Log.write(appends(entries(10, 12, 1))));
      REQUIRE(Opened.Log.sync());
    }
    Row.Damage(Files);
    CHECK(failure(Files, optionsFor(false)) == Row.Failure);
    if (Row.Failure.empty()) {
      auto Opened = reopen(Files);
      CHECK(lastIndex(Opened) == Row.Last);
      CHECK(Opened.Log.write(appends(entries(Row.Last + 1, 20, 1))));
    }
  }
}

// Guards against acknowledging writes that the disk did not store.
TEST_CASE("a failed write or sync stops the log") {
  struct row {
    std::string Name;
    std::function<void(memory_files &)> Break;
    std::string Failure;
  };
  const std::vector<row> Rows = {
      {"disk full", [](memory_files &F) { F.FreeBytes = 0; }, "disk_full"},
      {"space for a part", [](memory_files &F) { F.FreeBytes = 70; },
       "disk_full"},
      {"sync", [](memory_files &F) { F.SyncsUntilFailure = 0; }, "sync_failed"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    memory_files Files;
    {
      auto Opened = reopen(Files, true);
      Row.Break(Files);
      auto Result = Opened.Log.write(appends(entries(2, 5, 1)));
      if (Result) {
        Result = Opened.Log.sync();
      }
      REQUIRE_FALSE(Result);
      CHECK(nameOf(Result.error().Code) == Row.Failure);
      CHECK(Opened.Log.stopped());
      Files.FreeBytes = 1U << 20;
      Files.SyncsUntilFailure = -1;
      CHECK(Opened.Log.sync().error().Code == storage_errc::Stopped);
      CHECK(Opened.Log.write({}).error().Code == storage_errc::Stopped);
    }
    auto Opened = reopen(Files);
    REQUIRE(Opened.Log.write(appends(entries(lastIndex(Opened) + 1, 9, 1))));
    REQUIRE(Opened.Log.sync());
  }
}

// Guards against entries that a failed sync lost on disk but that are still
// readable from memory: the voter would acknowledge them without having stored
// them.
TEST_CASE("a reopened log contains only synced entries") {
  struct row {
    std::string Name;
    std::function<void(memory_files &)> Break;
  };
  const std::vector<row> Rows = {
      {"full", [](memory_files &F) { F.FreeBytes = 70; }},
      {"sync failed", [](memory_files &F) { F.SyncsUntilFailure = 0; }},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    memory_files Files;
    {
      auto Opened = reopen(Files, true);
      REQUIRE(Opened.Log.write(appends(entries(2, 4, 1))));
      REQUIRE(Opened.Log.sync());
      Row.Break(Files);
      auto Result = Opened.Log.write(appends(entries(5, 9, 1)));
      if (Result) {
        Result = Opened.Log.sync();
      }
      REQUIRE_FALSE(Result);
      Files.FreeBytes = 0;
      CHECK_FALSE(Opened.Log.discardUnsynced());
      Files.FreeBytes = 1U << 20;
      Files.SyncsUntilFailure = -1;
      REQUIRE(Opened.Log.discardUnsynced());
      CHECK(Opened.Log.stopped());
    }
    auto Opened = reopen(Files);
    CHECK(lastIndex(Opened) == 4);
    REQUIRE(Opened.Log.write(appends(entries(5, 6, 1))));
    REQUIRE(Opened.Log.sync());
  }
}

// Guards against a full disk that stops the log although only a snapshot did
// not fit, and against bytes lost by short writes.
TEST_CASE("a snapshot that does not fit leaves the log usable") {
  memory_files Files;
  Files.MaxBytesPerWrite = 7;
  auto Opened = reopen(Files, true);
  REQUIRE(Opened.Log.write(appends(entries(2, 5, 1))));
  REQUIRE(Opened.Log.saveSnapshot(snapshotAt(3, 1)));
  Files.FreeBytes = 10;
  const auto Saved = Opened.Log.saveSnapshot(snapshotAt(4, 1));
  CHECK(Saved.error().Code == storage_errc::DiskFull);
  Files.FreeBytes = 1U << 20;
  REQUIRE(Opened.Log.write(appends(entries(6, 6, 1))));
  REQUIRE(Opened.Log.sync());
  { const auto Closed = std::move(Opened); }
  const auto Again = reopen(Files);
  CHECK(Again.Recovered.Snapshot->Meta.Index == 3);
  CHECK(*Again.Recovered.Snapshot->Data == "state 3");
  CHECK(lastIndex(Again) == 6);
}

// Guards against one sync per entry.
TEST_CASE("several outputs share one sync") {
  memory_files Files;
  auto Opened = reopen(Files, true);
  const auto Before = Files.Syncs;
  for (std::uint64_t Index = 2; Index <= 100; ++Index) {
    REQUIRE(Opened.Log.write(appends(entries(Index, Index, 1))));
  }
  REQUIRE(Opened.Log.sync());
  REQUIRE(Opened.Log.sync());
  CHECK(Files.Syncs == Before + 1);
  CHECK(Opened.Log.write(appends(entries(103, 103, 1))).error().Code ==
        storage_errc::InvalidArgument);
}

// Guards against a crash between the steps of a write: synced data must remain,
// and the rest must be a prefix of the writes.
TEST_CASE("synced data survives a power loss") {
  constexpr std::uint64_t Seeds = 400;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    memory_files Files;
    constexpr std::size_t SmallSegment = 500; // about seven entries
    auto Opened =
        std::make_unique<open_result>(reopen(Files, true, SmallSegment));
    std::vector<log_entry> Written = Opened->Recovered.Entries;
    std::size_t Synced = Written.size();
    hard_state Hard = Opened->Recovered.HardState;
    std::uint64_t Snapshot = 0;
    for (int Step = 0; Step < 60; ++Step) {
      disk_writes Writes;
      const auto Kind = Random() % 8;
      const auto Last = Written.size();
      if (Kind < 3) {
        Writes.EntriesToAppend =
            entries(Last + 1, Last + 1 + Random() % 6, Hard.Term);
      } else if (Kind == 3 && Last > Snapshot) {
        Hard = {Hard.Term + 1, node_id{1}};
        Writes.HardState = Hard;
        Writes.TruncateFrom = Snapshot + 1 + Random() % (Last - Snapshot);
        Writes.EntriesToAppend = entries(*Writes.TruncateFrom, Last, Hard.Term);
        Written.resize(*Writes.TruncateFrom - 1);
        Synced = std::min(Synced, Written.size());
      } else if (Kind == 4 && Synced > Snapshot) {
        Snapshot = Synced;
        REQUIRE(Opened->Log.saveSnapshot(
            snapshotAt(Snapshot, Written[Snapshot - 1].Term)));
        Writes.CompactThrough = Snapshot;
      } else if (Kind == 5 && Random() % 4 == 0) {
        // A snapshot from the leader that replaces the log.
        Snapshot = Last + 5;
        Writes.Snapshot = snapshotAt(Snapshot, Hard.Term);
        Writes.ResetLog = true;
        Written = entries(1, Snapshot, Hard.Term);
        Synced = Snapshot;
      }
      Written.insert(Written.end(), Writes.EntriesToAppend.begin(),
                     Writes.EntriesToAppend.end());
      REQUIRE(Opened->Log.write(Writes));
      if (Kind == 6) {
        REQUIRE(Opened->Log.sync());
        Synced = Written.size();
      }
      if (Kind == 7 && Random() % 4 == 0) {
        Opened.reset();
        Files.crash(Random);
        Opened =
            std::make_unique<open_result>(reopen(Files, false, SmallSegment));
        const auto &State = Opened->Recovered;
        CHECK(State.HardState == Hard);
        const auto Covered = State.Snapshot ? State.Snapshot->Meta.Index : 0;
        REQUIRE(Covered == Snapshot);
        const auto End = std::max(Covered, lastIndex(*Opened));
        REQUIRE(End >= Synced);
        REQUIRE(End <= Written.size());
        for (const auto &Entry : State.Entries) {
          REQUIRE(Entry == Written[Entry.Index - 1]);
        }
        Written.resize(End);
        Synced = End;
      }
    }
  }
}

// Guards against a power loss in the middle of a compaction: of the removed
// segments any may come back, and a log with a gap is not opened any more.
TEST_CASE("a power loss during a compaction leaves a log that opens") {
  constexpr std::size_t SegmentBytes = 200;
  const std::uint64_t Last = 20;
  // Compacts a log whose snapshot ends where the last segment begins, until a
  // sync fails.
  const auto CompactUntilPowerLoss = [&](memory_files &Files) {
    auto Opened = reopen(Files, true, SegmentBytes);
    for (std::uint64_t Index = 2; Index <= Last; ++Index) {
      REQUIRE(Opened.Log.write(appends(entries(Index, Index, 1))));
      REQUIRE(Opened.Log.sync());
    }
    auto LastSegment = Last;
    while (!Files.exists(segmentFile(LastSegment))) {
      --LastSegment;
    }
    REQUIRE(Opened.Log.saveSnapshot(snapshotAt(LastSegment - 1, 1)));
    disk_writes Writes;
    Writes.CompactThrough = LastSegment - 1;
    Files.SyncsUntilFailure = 0;
    CHECK_FALSE(Opened.Log.write(Writes));
    Files.SyncsUntilFailure = -1;
  };
  memory_files First;
  CompactUntilPowerLoss(First);
  const auto Removed = First.unsyncedRemovals().size();
  REQUIRE(Removed >= 1);
  for (std::size_t Subset = 0; Subset < std::size_t{1} << Removed; ++Subset) {
    CAPTURE(Subset);
    memory_files Files;
    CompactUntilPowerLoss(Files);
    const auto Names = Files.unsyncedRemovals();
    for (std::size_t I = 0; I < Names.size(); ++I) {
      if ((Subset >> I & 1U) != 0) {
        Files.restoreName(Names[I]);
      }
    }
    CHECK(lastIndex(reopen(Files, false, SegmentBytes)) == Last);
  }
}

// Guards against a restart after many writes that loses or repeats entries,
// with the real file system.
TEST_CASE("10,000 entries survive a restart with and without a snapshot") {
  std::string Directory =
      (std::filesystem::temp_directory_path() / "arbutus-XXXXXX").string();
  REQUIRE(::mkdtemp(Directory.data()) != nullptr);
  auto Options = optionsFor(true);
  Options.Directory = Directory;
  Options.SegmentBytes = 100'000;
  {
    auto Opened = durable_log::open(Options);
    REQUIRE(Opened);
    for (std::uint64_t Index = 2; Index <= 10'000; Index += 101) {
      REQUIRE(
          Opened.value().Log.write(appends(entries(Index, Index + 100, 1))));
      REQUIRE(Opened.value().Log.sync());
    }
  }
  Options.Bootstrap = false;
  {
    auto Opened = durable_log::open(Options);
    REQUIRE(Opened);
    CHECK(Opened.value().Recovered.Entries.size() == 10'000);
    CHECK(durable_log::open(Options).error().Code == storage_errc::Locked);
    const auto Before = Opened.value().Log.logBytes();
    REQUIRE(Opened.value().Log.saveSnapshot(snapshotAt(9'000, 1)));
    disk_writes Writes;
    Writes.CompactThrough = 9'000;
    REQUIRE(Opened.value().Log.write(Writes));
    CHECK(Opened.value().Log.logBytes() < Before / 4);
  }
  {
    auto Opened = durable_log::open(Options);
    REQUIRE(Opened);
    CHECK(Opened.value().Recovered.Snapshot->Meta.Index == 9'000);
    CHECK(lastIndex(Opened.value()) == 10'000);
    raft_options Raft;
    Raft.NodeId = node_id{1};
    const raft_node Node(Raft, Opened.value().Recovered, std::mt19937_64(1),
                         instant());
    CHECK(Node.status().LastIndex == 10'000);
    CHECK(Node.status().CommitIndex == 9'000);
  }
  std::filesystem::remove_all(Directory);
}

// Guards against a voter that needs more memory to start than to run: it read
// every entry that was still on disk, also those that its snapshot covers. A
// log that has grown too large would otherwise never be opened again.
TEST_CASE("a log is read from its snapshot on") {
  constexpr std::size_t SegmentBytes = 1'000;
  for (const std::uint64_t SnapshotIndex : {50, 51, 99, 100}) {
    CAPTURE(SnapshotIndex);
    memory_files Files;
    {
      auto First = reopen(Files, true, SegmentBytes);
      for (std::uint64_t Index = 2; Index <= 100; ++Index) {
        REQUIRE(First.Log.write(appends(entries(Index, Index, 1))));
        REQUIRE(First.Log.sync());
      }
      REQUIRE(First.Log.saveSnapshot(snapshotAt(SnapshotIndex, 1)));
    }
    Files.content(LogFile) = "not to be read";
    const auto Again = reopen(Files, false, SegmentBytes);
    CHECK_FALSE(Files.exists(LogFile));
    REQUIRE_FALSE(Again.Recovered.Entries.empty());
    CHECK(Again.Recovered.Entries.front().Index == SnapshotIndex);
    CHECK(Again.Recovered.Entries.back().Index == 100);
    CHECK(Again.Log.logBytes() <=
          (100 - SnapshotIndex) * 80 + 2 * SegmentBytes);
  }
}
