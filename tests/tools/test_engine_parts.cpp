#include "common/content.h"
#include "common/engine/batch.h"
#include "common/engine/cold_state.h"
#include "common/engine/prefix_cache.h"
#include "common/lagged.h"
#include "common/vm_list.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace arbutus;
using namespace arbutus::tools;

namespace {

constexpr instant Start = instantFromMicros(1000000);

} // namespace

// Guards against tokens that do not slow down beyond the knee, or slow down
// below it.
TEST_CASE("a batch slows in proportion beyond what it bears") {
  struct row {
    int Running;
    int Bearable;
    duration TenTokens;
  };
  const row Rows[] = {
      {1, 4, 90ms}, {4, 4, 90ms}, {8, 4, 180ms}, {6, 4, 135ms}, {4, 1, 360ms}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Running, Row.Bearable);
    batch Batch(10ms);
    for (int Index = 0; Index < Row.Running; ++Index) {
      Batch.add(generation_id{std::uint64_t(Index)}, 0, 100, Start);
    }
    int Tokens = 0;
    instant Last{};
    while (Tokens < 10 * Row.Running) {
      Last = *Batch.nextStep();
      Tokens += static_cast<int>(Batch.advance(Last, Row.Bearable).size());
    }
    CHECK(Last - Start == Row.TenTokens);
  }
}

// Guards against tokens before the first-token time and against tokens that
// are lost or repeated when the caller's timer is late.
TEST_CASE("a late timer yields every due token once and in order") {
  batch Batch(10ms);
  Batch.add(generation_id{1}, 2, 6, Start + 35ms);
  CHECK(Batch.advance(Start + 34ms, 4).empty());
  const auto Tokens = Batch.advance(Start + 1s, 4);
  REQUIRE(Tokens.size() == 4);
  for (int Index = 0; Index < 4; ++Index) {
    CHECK(Tokens[std::size_t(Index)].Index == Index + 2);
    CHECK(Tokens[std::size_t(Index)].Last == (Index == 3));
  }
  CHECK(Batch.running() == 0);
  CHECK_FALSE(Batch.nextStep());
}

// Guards against an engine that stays cold forever or warms up too early.
TEST_CASE("an engine is warm after enough requests or enough time") {
  struct row {
    cold_options Options;
    int Completed;
    duration After;
    bool Cold;
  };
  const row Rows[] = {
      {{3, 10s}, 2, 9s, true},   {{3, 10s}, 3, 0s, false},
      {{3, 10s}, 0, 10s, false}, {{3, 0s}, 2, 1h, true},
      {{0, 10s}, 99, 9s, true},  {{0, 0s}, 0, 0s, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Completed, toSeconds(Row.After));
    cold_state State(Row.Options, Start);
    for (int Index = 0; Index < Row.Completed; ++Index) {
      State.countCompleted();
    }
    CHECK(State.cold(Start + Row.After) == Row.Cold);
  }
  cold_state State({2, 0s}, Start);
  State.countCompleted();
  State.countCompleted();
  CHECK_FALSE(State.cold(Start));
  State.makeCold(Start + 1s);
  CHECK(State.cold(Start + 2s));
}

// Guards against a cache that grows without limit, forgets the wrong block or
// changes without an event.
TEST_CASE("the prefix cache removes the least recently used block") {
  prefix_cache Cache(3);
  CHECK(Cache.use({1, 2}, Start) == 0);
  CHECK(Cache.use({1, 2, 3}, Start) == 2);
  CHECK(Cache.use({1, 2}, Start) == 2);
  CHECK(Cache.use({4}, Start) == 0);
  CHECK(Cache.size() == 3);
  CHECK_FALSE(Cache.contains(3));
  Cache.clear(Start + 1s);
  std::set<std::uint64_t> Replayed;
  std::uint64_t Number = 0;
  for (const auto &Event : Cache.events()) {
    CHECK(Event.Number == ++Number);
    if (Event.Kind == cache_event_kind::Stored) {
      Replayed.insert(Event.Block);
    } else if (Event.Kind == cache_event_kind::Removed) {
      CHECK(Replayed.erase(Event.Block) == 1);
    } else {
      CHECK(Replayed == std::set<std::uint64_t>{1, 2, 4});
      Replayed.clear();
    }
  }
  CHECK(Replayed.empty());
}

// Guards against gaps that differ between two reads or ignore the percentage.
TEST_CASE("gaps of cache events are stable and in proportion") {
  int Missing = 0;
  for (std::uint64_t Number = 0; Number < 10000; ++Number) {
    const bool Gap = missingEvent(Number, 20, 7);
    CHECK(Gap == missingEvent(Number, 20, 7));
    CHECK_FALSE(missingEvent(Number, 0, 7));
    CHECK(missingEvent(Number, 100, 7));
    Missing += Gap ? 1 : 0;
  }
  CHECK(Missing > 1800);
  CHECK(Missing < 2200);
}

// Guards against an answer that a caller cannot recompute, or one that stays
// equal when tokens are swapped, lost or belong to another prompt.
TEST_CASE("the answer to a prompt is deterministic and distinctive") {
  const auto Messages = nlohmann::json::parse(
      R"([{"role":"system","content":"s"},{"content":"hello","role":"user"}])");
  CHECK(promptText(Messages) == "system: s\nuser: hello\n");
  std::set<std::string> Answers;
  for (int Prompt = 0; Prompt < 200; ++Prompt) {
    const auto Hash = promptHash("prompt " + std::to_string(Prompt));
    const int Count = outputTokens(Hash, 40);
    CHECK(Count >= 1);
    CHECK(Count <= 40);
    CHECK(outputTokens(Hash, 1) == 1);
    std::string Joined;
    for (int Index = 0; Index < Count; ++Index) {
      Joined += tokenText(Hash, Index);
    }
    CHECK(Joined == answerText(Hash, 40));
    Answers.insert(Joined);
  }
  CHECK(Answers.size() == 200);
}

// Guards against block hashes that do not depend on the text before the block.
TEST_CASE("prefix blocks cover all text before them") {
  const std::string Block(PrefixBlockBytes, 'a');
  const auto Same = prefixBlocks(Block + Block + "rest");
  REQUIRE(Same.size() == 2);
  CHECK(Same[0] != Same[1]);
  CHECK(prefixBlocks("b" + Block.substr(1) + Block)[1] != Same[1]);
  CHECK(prefixBlocks(Block + "x")[0] == Same[0]);
}

// Guards against a report that shows the present in place of the past.
TEST_CASE("a lagged value shows what held one lag ago") {
  lagged<int> Value(100ms);
  Value.record(Start, 1);
  Value.record(Start + 50ms, 2);
  Value.record(Start + 120ms, 3);
  CHECK(Value.at(Start + 120ms) == 1);
  CHECK(Value.at(Start + 149ms) == 1);
  CHECK(Value.at(Start + 150ms) == 2);
  CHECK(Value.at(Start + 219ms) == 2);
  CHECK(Value.at(Start + 220ms) == 3);
  CHECK(Value.at(Start + 1h) == 3);
}

// Guards against a list of VMs that accepts unknown states or loses fields.
TEST_CASE("the list of VMs survives a round trip and refuses bad input") {
  const std::string Good =
      R"({"vms":[{"address":"a:1","failure_domain":"d","state":"leaving"}]})";
  const auto List = vmsFromJson(Good);
  REQUIRE(List);
  CHECK(vmsToJson(List.value()) == Good);
  CHECK_FALSE(vmsFromJson(R"({"vms":[{"address":"a:1"}]})"));
  CHECK_FALSE(vmsFromJson(
      R"({"vms":[{"address":"a","failure_domain":"d","state":"gone"}]})"));
  CHECK_FALSE(vmsFromJson("{"));
  CHECK(vmsToJson(vmsFromFlag({"a:1=d"}).value()) ==
        R"({"vms":[{"address":"a:1","failure_domain":"d","state":"live"}]})");
  CHECK_FALSE(vmsFromFlag({"a:1"}));
}
