#include "base/digest.h"
#include "session.h"
#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace arbutus;
using namespace arbutus::store;

namespace {

constexpr auto GoldenPath =
    ARBUTUS_SOURCE_DIR "/tests/golden/store_session.txt";

struct step {
  std::string Title;
  command Command;
};

template <class T> step stepOf(std::string Title, T Command) {
  return {std::move(Title), makeCommand(std::move(Command))};
}

constexpr std::size_t HeaderBytes = 17;

/// Gives a changed snapshot the checksum of its content.
std::string sealed(std::string Bytes) {
  auto Sum = hash64(std::string_view(Bytes).substr(HeaderBytes));
  for (std::size_t At = HeaderBytes - 1; At > HeaderBytes - 9; --At) {
    Bytes[At] = static_cast<char>(Sum & 0xffU);
    Sum >>= 8U;
  }
  return Bytes;
}

step putStep(const std::string &Id, const std::string &Name,
             std::uint64_t Version, resource_spec Spec) {
  return stepOf("put " + Name + " version " + std::to_string(Version) +
                    " request " + Id,
                put_command{Id, Name, Version, std::move(Spec)});
}

step deleteStep(const std::string &Id, resource_kind Kind,
                const std::string &Name, std::uint64_t Version) {
  return stepOf("delete " + Name + " version " + std::to_string(Version) +
                    " request " + Id,
                delete_command{Id, {Kind, Name}, Version});
}

std::vector<step> resourceSteps() {
  upstream Broken = upstreamAt("127.0.0.1:0");
  Broken.FailureDomain = "north-b";
  Broken.Services = {"ledgr", "ledgr"};
  Broken.MaxConcurrent = 0;
  team Keyed = teamOf({"ledger"});
  Keyed.ApiKeyHashes = {sha256Hex("demo-kotare")};
  return {
      putStep("r1", "north-a", 0, {failure_domain{"nz-north", {}}}),
      putStep("r2", "ledger", 0, {plainService()}),
      putStep("r3", "worker-1", 0, {upstreamAt("127.0.0.1:21101")}),
      putStep("r4", "worker-2", 0, {Broken}),
      putStep("r5", "worker-2", 0, {upstreamAt("127.0.0.1:21101")}),
      putStep("r6", "kotare", 0, {Keyed}),
      putStep("r7", "weka", 0, {Keyed}),
      putStep("r6", "kotare", 0, {Keyed}),
      putStep("r6", "kotare", 1, {Keyed}),
      putStep("r8", "kotare", 0, {teamOf({})}),
      putStep("r9", "kotare", 7, {teamOf({})}),
      putStep("r10", "weka", 1, {teamOf({})}),
      putStep("r11", "other", 0, {policy{}}),
      putStep("r12", "ledger", 0, {pool{}}),
      putStep("", "weka", 0, {teamOf({})}),
      deleteStep("r13", resource_kind::Service, "ledger", 1),
      deleteStep("r14", resource_kind::FailureDomain, "north-a", 1),
      deleteStep("r15", resource_kind::Upstream, "worker-1", 9),
      deleteStep("r16", resource_kind::Pool, "ledger", 1),
      stepOf("assign pool 1 to node 3 epoch 5",
             assign_pool_command{pool_id{1}, node_id{3}, epoch{5}}),
      stepOf("assign pool 1 to node 4 epoch 5",
             assign_pool_command{pool_id{1}, node_id{4}, epoch{5}}),
      stepOf("assign pool 2",
             assign_pool_command{pool_id{2}, node_id{4}, epoch{6}}),
      deleteStep("r17", resource_kind::Upstream, "worker-1", 1),
      putStep("r18", "worker-1", 0, {upstreamAt("127.0.0.1:21101")}),
  };
}

std::vector<step> claimSteps() {
  const claim_key Key{team_id{1}, "ledger", "deposit-1"};
  const claim_key Large{team_id{1}, "ledger", "deposit-2"};
  const claim_key Lost{team_id{1}, "ledger", "deposit-3"};
  const claim_owner First{node_id{1}, incarnation{10}, 1};
  const claim_owner Second{node_id{2}, incarnation{10}, 1};
  const claim_owner Third{node_id{2}, incarnation{10}, 2};
  const claim_answer Answer{201, "application/json", "{\"coins\":5}", false};
  const claim_answer Long{200, "text/plain", std::string(65'537, 'x'), false};
  return {
      stepOf("claim", claim_command{Key, "h1", First}),
      stepOf("claim, resent", claim_command{Key, "h1", First}),
      stepOf("claim by another", claim_command{Key, "h1", Second}),
      stepOf("claim, other request", claim_command{Key, "h2", Second}),
      stepOf("complete by another", complete_command{Key, Second, Answer}),
      stepOf("withdraw", withdraw_command{Key, First}),
      stepOf("claim, delayed resend", claim_command{Key, "h1", First}),
      stepOf("claim after withdrawal", claim_command{Key, "h2", Second}),
      stepOf("complete", complete_command{Key, Second, Answer}),
      stepOf("complete, resent", complete_command{Key, Second, Answer}),
      stepOf("claim after completion", claim_command{Key, "h2", Third}),
      stepOf("withdraw after completion", withdraw_command{Key, Second}),
      stepOf("claim 2", claim_command{Large, "h1", First}),
      stepOf("complete 2, too large", complete_command{Large, First, Long}),
      stepOf("claim 2 again", claim_command{Large, "h1", Second}),
      stepOf("claim 3", claim_command{Lost, "h1", First}),
      stepOf("abandon node 1", abandon_command{node_id{1}, incarnation{10}}),
      stepOf("claim 3 again", claim_command{Lost, "h1", Third}),
      stepOf("claim by closed owner",
             claim_command{{team_id{1}, "ledger", "k"}, "h", First}),
      stepOf("complete 3 late", complete_command{Lost, First, Answer}),
      stepOf("claim 3 after late answer", claim_command{Lost, "h1", Third}),
      stepOf("claim, unknown team",
             claim_command{{team_id{9}, "ledger", "k"}, "h", Third}),
      stepOf("claim, no key",
             claim_command{{team_id{1}, "ledger", ""}, "", Third}),
      stepOf("complete, no claim",
             complete_command{{team_id{1}, "ledger", "k"}, Third, Answer}),
      stepOf("expire a day later", expire_command{86'401'000}),
      stepOf("claim 1 after expiry", claim_command{Key, "h3", Third}),
  };
}

} // namespace

// Guards against a change of an outcome, of its text or of the stored form
// that would make voters of two versions differ.
TEST_CASE("a whole session gives the golden outcomes") {
  session Session;
  std::ostringstream Out;
  for (const auto &Steps : {resourceSteps(), claimSteps()}) {
    for (const auto &Step : Steps) {
      const auto Outcome = Session.run(Step.Command);
      Out << "> " << Step.Title << "\n< " << describe(Outcome) << "\n";
    }
  }
  const auto Snapshot = Session.Store.snapshot();
  Out << "snapshot " << Snapshot.size() << " bytes, sha256 "
      << sha256Hex(Snapshot) << "\n";
  if (std::getenv("ARBUTUS_WRITE_GOLDEN") != nullptr) {
    std::ofstream(GoldenPath) << Out.str();
  }
  std::ifstream File(GoldenPath);
  const std::string Golden{std::istreambuf_iterator<char>(File), {}};
  REQUIRE(!Golden.empty());
  CHECK(Out.str() == Golden);
}

// Guards against an entry that is applied twice, and against a voter that goes
// on after an entry that it does not understand.
TEST_CASE("apply refuses repeated, malformed and newer entries") {
  session Session;
  const auto Entry = encodeBatch(
      {1, {makeCommand(put_command{"r", "a", 0, {failure_domain{"r", {}}}})}});
  struct row {
    std::string Name;
    std::uint64_t Index;
    std::string Bytes;
    apply_status Status;
    std::uint64_t AppliedIndex;
  };
  const std::vector<row> Rows = {
      {"no-op", 3, "", apply_status::Applied, 3},
      {"write", 5, Entry, apply_status::Applied, 5},
      {"same index", 5, Entry, apply_status::AlreadyApplied, 5},
      {"earlier index", 4, Entry, apply_status::AlreadyApplied, 5},
      {"cut short", 6, Entry.substr(0, Entry.size() - 1),
       apply_status::Malformed, 6},
      {"newer version", 7, std::string(1, BatchVersion + 1),
       apply_status::UnsupportedVersion, 6},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Applied = Session.Store.apply(Row.Index, Row.Bytes);
    CHECK(nameOf(Applied.Status) == nameOf(Row.Status));
    CHECK(Session.Store.appliedIndex() == Row.AppliedIndex);
  }
  CHECK(Session.Store.currentRevision() == revision{1});
}

// Guards against request ids that are forgotten early, kept for ever, or
// grow without bound.
TEST_CASE("request ids are kept for a day and up to their limit") {
  session Session;
  const resource_spec Spec{failure_domain{"r", {}}};
  const auto First = Session.put("first", "a", 0, Spec);
  Session.TimeMs += 86'400'000 - 1;
  CHECK(Session.put("first", "a", 0, Spec).Resent);
  Session.TimeMs += 1;
  CHECK(Session.put("first", "a", 0, Spec).Code == outcome_code::Conflict);

  batch Batch{Session.TimeMs, {}};
  for (int I = 0; I < 100'000; ++I) {
    const auto Id = "n" + std::to_string(I);
    Batch.Commands.push_back(
        makeCommand(delete_command{Id, {resource_kind::Team, "none"}, 1}));
  }
  Session.Store.apply(++Session.Index, encodeBatch(Batch));
  CHECK(Session.Store.requestIds() == 100'000);
  CHECK(Session.erase("n0", resource_kind::Team, "none", 1).Resent);
  CHECK_FALSE(Session.put("first", "a", 0, Spec).Resent);
  CHECK_FALSE(Session.erase("n0", resource_kind::Team, "none", 1).Resent);
}

// Guards against one team that fills the table of claims for all.
TEST_CASE("claims of one team are bounded") {
  session Session;
  Session.put("1", "ledger", 0, {plainService()});
  Session.put("2", "kotare", 0, {teamOf({"ledger"})});
  Session.put("3", "weka", 0, {teamOf({"ledger"})});
  const auto Claim = [](std::uint32_t Team, int Key) {
    return makeCommand(
        claim_command{{team_id{Team}, "ledger", std::to_string(Key)}, "h", {}});
  };
  batch Batch{Session.TimeMs, {}};
  for (int I = 0; I < 40'000; ++I) {
    Batch.Commands.push_back(Claim(1, I));
  }
  Session.Store.apply(++Session.Index, encodeBatch(Batch));
  CHECK(Session.Store.claims() == 40'000);
  CHECK(Session.run(Claim(1, 40'000)).Code == outcome_code::ClaimsFull);
  CHECK(Session.run(Claim(1, 7)).Code == outcome_code::Granted);
  CHECK(Session.run(Claim(2, 1)).Code == outcome_code::Granted);
}

// Guards against a watch with a gap, and against history without bound.
TEST_CASE("changesSince has no gaps or says compacted") {
  session Session;
  Session.put("s", "ledger", 0, {plainService()});
  Session.put("t", "kotare", 0, {teamOf({})});
  const auto Teams =
      Session.Store.changesSince(revision{0}, {resource_kind::Team});
  REQUIRE(Teams.has_value());
  REQUIRE(Teams.value().size() == 1);
  CHECK(Teams.value()[0].Revision == revision{3});
  CHECK(Session.Store.changesSince(revision{99}).value().empty());
  batch Batch;
  for (std::uint64_t I = 1; I <= 10'000; ++I) {
    Batch.Commands.push_back(makeCommand(
        put_command{"u" + std::to_string(I), "kotare", I, {teamOf({})}}));
  }
  Session.Store.apply(++Session.Index, encodeBatch(Batch));
  CHECK(Session.Store.changesSince(revision{3}).value().size() == 10'000);
  const auto Gone = Session.Store.changesSince(revision{2});
  REQUIRE(Gone.has_error());
  CHECK(Gone.error().Oldest == revision{3});
}

// Guards against a damaged snapshot that is accepted or changes the state.
TEST_CASE("restore answers bad snapshots with typed errors") {
  session Session;
  Session.put("1", "north-a", 0, {failure_domain{"r", {}}});
  Session.put("2", "ledger", 0, {plainService()});
  Session.put("3", "w1", 0, {upstreamAt("127.0.0.1:1")});
  const auto Good = Session.Store.snapshot();
  auto Dangling = Good;
  Dangling.replace(Good.find("north-a", Good.find("127.0.0.1:1")), 7,
                   "north-b");
  const auto With = [&Good](std::size_t At, char Byte) {
    auto Bytes = Good;
    Bytes[At] = Byte;
    return Bytes;
  };
  struct row {
    std::string Name;
    std::string Bytes;
    snapshot_error_code Code;
  };
  const std::vector<row> Rows = {
      {"empty", "", snapshot_error_code::NotASnapshot},
      {"other file", With(0, 'x'), snapshot_error_code::NotASnapshot},
      {"newer", With(8, 9), snapshot_error_code::UnsupportedVersion},
      {"cut short", Good.substr(0, Good.size() - 1),
       snapshot_error_code::ChecksumMismatch},
      {"flipped", With(Good.size() - 1, 'x'),
       snapshot_error_code::ChecksumMismatch},
      {"no content", sealed(Good.substr(0, HeaderBytes)),
       snapshot_error_code::Malformed},
      {"dangling reference", sealed(Dangling),
       snapshot_error_code::Inconsistent},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Restored = Session.Store.restore(Row.Bytes);
    REQUIRE(Restored.has_error());
    CHECK(nameOf(Restored.error().Code) == nameOf(Row.Code));
    CHECK(Session.Store.snapshot() == Good);
  }
}

// Guards against a damaged snapshot or entry that ends the process.
TEST_CASE("changed bytes never end the process") {
  session Session;
  for (const auto &Steps : {resourceSteps(), claimSteps()}) {
    for (const auto &Step : Steps) {
      Session.run(Step.Command);
    }
  }
  const auto Good = Session.Store.snapshot();
  const auto Entry = encodeBatch({1, {resourceSteps()[1].Command}});
  std::mt19937 Random(11);
  int Accepted = 0;
  for (int I = 0; I < 20'000; ++I) {
    auto Bytes = Good;
    const auto At = HeaderBytes + Random() % (Bytes.size() - HeaderBytes);
    Bytes[At] = static_cast<char>(Random());
    state_machine Other;
    if (Other.restore(sealed(Bytes)).has_value()) {
      ++Accepted;
      REQUIRE(Other.restore(Other.snapshot()).has_value());
    }
    auto Changed = Entry;
    Changed[1 + Random() % (Entry.size() - 1)] = static_cast<char>(Random());
    Other.apply(Other.appliedIndex() + 1, Changed);
    REQUIRE(Other.restore(Other.snapshot()).has_value());
  }
  CHECK(Accepted > 0);
}
