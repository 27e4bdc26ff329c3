#include "common/content.h"
#include "common/engine/engine_core.h"
#include <catch2/catch.hpp>

#include <map>

using namespace arbutus;
using namespace arbutus::tools;

namespace {

constexpr instant Start = instantFromMicros(1000000);

engine_options warmOptions() {
  engine_options Options;
  Options.StartWarm = true;
  Options.Slots = 4;
  Options.TokenTime = 10ms;
  Options.FirstTokenTime = 20ms;
  Options.PrefillTokenTime = duration(0);
  return Options;
}

chat_request chat(const std::string &Id, int MaxTokens = 50) {
  return {Id, "model", "prompt of " + Id, MaxTokens, std::nullopt};
}

/// A request whose answer has at least this many tokens.
chat_request longChat(const std::string &Id, int Tokens) {
  auto Request = chat(Id, 4 * Tokens);
  while (outputTokens(promptHash(Request.Prompt), Request.MaxTokens) < Tokens) {
    Request.Prompt += "x";
  }
  return Request;
}

struct observed {
  std::vector<int> Tokens;
  bool Ended = false;
  bool Broken = false;
  int Duplicates = 0;
  int WrongIds = 0;
};

/// Runs until no event is due any more, at most until `Until`.
std::map<generation_id, observed> runUntil(engine_core &Core, instant Until) {
  std::map<generation_id, observed> Result;
  for (auto Next = Core.nextWakeUp(); Next && *Next <= Until;
       Next = Core.nextWakeUp()) {
    Core.advance(*Next);
  }
  for (const auto &Event : Core.takeEvents()) {
    auto &Seen = Result[Event.Id];
    if (Event.Kind == event_kind::Token) {
      Seen.Tokens.push_back(Event.Index);
      Seen.Ended = Event.Last;
      Seen.Duplicates += Event.Duplicate ? 1 : 0;
      Seen.WrongIds += Event.WrongId.empty() ? 0 : 1;
    } else {
      Seen.Broken = true;
    }
  }
  return Result;
}

} // namespace

// Guards against a wrong fall-over limit, streams that survive it, and an
// engine that takes work while it is down or comes back warm.
TEST_CASE("an engine falls over beyond its limit and comes back cold") {
  auto Options = warmOptions();
  Options.FallOver = 4;
  Options.FallOverTime = 2s;
  Options.Warming = {2, 0s};
  Options.ColdSlots = 1;
  engine_core Core(Options, Start);
  for (const char *Id : {"a", "b", "c", "d"}) {
    CHECK(Core.submit(longChat(Id, 10), Start));
  }
  const auto Fifth = Core.submit(longChat("e", 10), Start + 50ms);
  REQUIRE_FALSE(Fifth);
  CHECK(Fifth.error() == refusal::FallenOver);
  const auto Seen = runUntil(Core, Start + 1h);
  REQUIRE(Seen.size() == 4);
  for (const auto &[Id, Generation] : Seen) {
    CHECK(Generation.Broken);
    CHECK_FALSE(Generation.Ended);
  }
  CHECK(Core.load(Start + 1s).Down);
  CHECK_FALSE(Core.submit(chat("f"), Start + 2s));
  CHECK(Core.submit(chat("g"), Start + 2s + 51ms));
  CHECK(Core.load(Start + 2s + 51ms).Cold);
  CHECK(Core.stats().FallOvers == 1);
  CHECK(Core.stats().Broken == 4);
  // The cold limit is 4 * 1 / 4, so that the second request is too much.
  CHECK_FALSE(Core.submit(chat("h"), Start + 2s + 52ms));
  CHECK(Core.stats().FallOvers == 2);
}

// Guards against an uncounted excess over what a cold engine bears.
TEST_CASE("admissions beyond what the engine bears are counted") {
  struct row {
    bool Warm;
    int Requests;
    int Over;
    int OverCold;
  };
  const row Rows[] = {
      {true, 4, 0, 0}, {true, 6, 2, 0}, {false, 2, 0, 0}, {false, 5, 3, 3}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Warm, Row.Requests);
    auto Options = warmOptions();
    Options.StartWarm = Row.Warm;
    Options.Warming = {100, 0s};
    engine_core Core(Options, Start);
    for (int Index = 0; Index < Row.Requests; ++Index) {
      REQUIRE(Core.submit(longChat(std::to_string(Index), 10), Start));
    }
    CHECK(Core.stats().OverBearable == Row.Over);
    CHECK(Core.stats().OverBearableCold == Row.OverCold);
    CHECK(Core.stats().MaxRunning == Row.Requests);
  }
}

// Guards against first-token times that ignore the cache, the cold state or
// the injected delay.
TEST_CASE("the first token is early on a cache hit and late on a cold engine") {
  auto Options = warmOptions();
  Options.PrefillTokenTime = 1ms;
  Options.ColdFirstTokenFactor = 3;
  Options.Warming = {100, 0s};
  engine_core Core(Options, Start);
  // 25 blocks of 16 tokens.
  chat_request Request = chat("a", 1);
  Request.Prompt = std::string(25 * PrefixBlockBytes, 'p');
  const auto FirstTokenAfter = [&](instant Now) {
    REQUIRE(Core.submit(Request, Now));
    const auto Due = *Core.nextWakeUp();
    static_cast<void>(runUntil(Core, Now + 1h));
    return Due - Now;
  };
  CHECK(FirstTokenAfter(Start) == 420ms);
  CHECK(FirstTokenAfter(Start + 10s) == 20ms);
  REQUIRE(Core.setFault("delay_first_token_ms", 100));
  CHECK(FirstTokenAfter(Start + 20s) == 120ms);
  REQUIRE(Core.setFault("delay_first_token_ms", 0));
  Core.makeCold(Start + 30s);
  CHECK(FirstTokenAfter(Start + 30s) == 60ms);
  CHECK_FALSE(Core.setFault("no_such_fault", 1));
}

// Guards against lost or repeated tokens at a resumption and against one that
// outlives its time or joins streams of different prompts.
TEST_CASE("a broken stream resumes from the named token") {
  auto Options = warmOptions();
  Options.ResumeTime = 5s;
  engine_core Core(Options, Start);
  REQUIRE(Core.setFault("break_stream_after_tokens", 6));
  const auto Request = longChat("a", 10);
  const auto Placed = Core.submit(Request, Start);
  REQUIRE(Placed);
  const auto Seen = runUntil(Core, Start + 1s);
  CHECK(Seen.at(Placed.value().Id).Tokens ==
        std::vector<int>{0, 1, 2, 3, 4, 5});
  CHECK(Seen.at(Placed.value().Id).Broken);
  REQUIRE(Core.setFault("break_stream_after_tokens", 0));

  struct row {
    const char *Id;
    int Tokens;
    const char *Prompt;
    duration After;
    std::optional<refusal> Refused;
  };
  const row Rows[] = {
      {"a", 4, "", 2s, std::nullopt},
      {"a", 6, Request.Prompt.c_str(), 2s, std::nullopt},
      {"a", 7, "", 2s, refusal::ResumeMismatch},
      {"a", -1, "", 2s, refusal::ResumeMismatch},
      {"a", 4, "other", 2s, refusal::ResumeMismatch},
      {"b", 4, "", 2s, refusal::ResumeUnavailable},
      {"a", 4, "", 10s, refusal::ResumeUnavailable},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Id, Row.Tokens, toSeconds(Row.After));
    chat_request Again = Request;
    Again.Prompt = Row.Prompt;
    Again.ResumeFrom = resume_point{Row.Id, Row.Tokens};
    const auto Resumed = Core.submit(Again, Start + Row.After);
    if (Row.Refused) {
      REQUIRE_FALSE(Resumed);
      CHECK(Resumed.error() == *Row.Refused);
      continue;
    }
    REQUIRE(Resumed);
    const auto After = runUntil(Core, Start + Row.After + 1h);
    const auto &Tokens = After.at(Resumed.value().Id).Tokens;
    CHECK(Tokens.front() == Row.Tokens);
    CHECK(Tokens.back() == Resumed.value().EndToken - 1);
    CHECK(After.at(Resumed.value().Id).Ended);
  }
}

// Guards against a slot that stays taken after its caller has gone.
TEST_CASE("a cancelled generation frees its slot at once and can resume") {
  engine_core Core(warmOptions(), Start);
  const auto Placed = Core.submit(longChat("a", 10), Start);
  REQUIRE(Placed);
  Core.advance(Start + 45ms);
  Core.cancel(Placed.value().Id, Start + 45ms);
  CHECK(Core.load(Start + 45ms).Running == 0);
  CHECK(Core.stats().Cancelled == 1);
  const auto Sent = static_cast<int>(Core.takeEvents().size());
  CHECK(Sent == 3);
  Core.cancel(Placed.value().Id, Start + 46ms);
  CHECK(Core.stats().Cancelled == 1);
  chat_request Again{"a", "model", "", 1, resume_point{"a", Sent}};
  CHECK(Core.submit(Again, Start + 1s));
}

// Guards against faults that hit no stream or all of them, or that end a
// stream as if it were complete.
TEST_CASE("stream faults hit the stated share of streams") {
  struct row {
    const char *Fault;
    int observed::*Count;
  };
  const row Rows[] = {{"wrong_id_percent", &observed::WrongIds},
                      {"duplicate_chunk_percent", &observed::Duplicates}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Fault);
    engine_core Core(warmOptions(), Start);
    REQUIRE(Core.setFault(Row.Fault, 100));
    const auto Placed = Core.submit(longChat("a", 10), Start);
    REQUIRE(Placed);
    const auto Seen = runUntil(Core, Start + 1h).at(Placed.value().Id);
    CHECK(Seen.*Row.Count >= 1);
    CHECK(Seen.Ended);
  }
  engine_core Core(warmOptions(), Start);
  REQUIRE(Core.setFault("truncate_percent", 30));
  int Cut = 0;
  for (int Index = 0; Index < 400; ++Index) {
    const auto Now = Start + 100s * Index;
    const auto Placed = Core.submit(chat(std::to_string(Index)), Now);
    REQUIRE(Placed);
    const auto Seen = runUntil(Core, Now + 99s).at(Placed.value().Id);
    CHECK(Seen.Broken != Seen.Ended);
    Cut += Seen.Broken ? 1 : 0;
  }
  CHECK(Cut > 80);
  CHECK(Cut < 160);
  REQUIRE(Core.setFault("fail_percent", 100));
  const auto Admitted = Core.stats().Admitted;
  CHECK_FALSE(Core.submit(chat("z"), Start + 24h));
  CHECK(Core.stats().Admitted == Admitted);
}

// Guards against an old controller that still commands an engine, and against
// an engine that refuses where it should ignore the token.
TEST_CASE("orders under an older token are refused or executed by mode") {
  for (const bool Check : {true, false}) {
    CAPTURE(Check);
    auto Options = warmOptions();
    Options.Models = {"old"};
    Options.CheckFencing = Check;
    Options.LoadModelTime = 3s;
    engine_core Core(Options, Start);
    auto New = chat("a");
    New.Model = "new";
    CHECK_FALSE(Core.submit(New, Start));
    CHECK(Core.order({order_kind::LoadModel, "new", 5}, Start));
    const auto Stale = Core.order({order_kind::UnloadModel, "old", 4}, Start);
    CHECK(Stale.has_value() == !Check);
    CHECK(Core.fencingToken() == 5);
    CHECK(Core.stats().StaleOrdersExecuted == (Check ? 0 : 1));
    // A request for a model that is being loaded waits and then runs.
    const auto Placed = Core.submit(New, Start + 1s);
    REQUIRE(Placed);
    CHECK(Core.load(Start + 1s).Waiting == 1);
    const auto Seen = runUntil(Core, Start + 1h);
    CHECK(Seen.at(Placed.value().Id).Ended);
    CHECK(Core.load(Start + 1h).Models.size() == (Check ? 2 : 1));
  }
}
