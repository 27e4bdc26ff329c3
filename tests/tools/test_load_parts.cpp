#include "common/load/load_stats.h"
#include "common/load/post_ledger.h"
#include "common/load/profile.h"
#include "common/load/request_plan.h"
#include "common/service/execution_log.h"
#include "net/event_forms.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>

using namespace arbutus;
using namespace arbutus::tools;

namespace {

std::string chunk(const std::string &Id, const std::string &Text) {
  return "data: " +
         nlohmann::json{{"id", Id},
                        {"choices", {{{"delta", {{"content", Text}}}}}}}
             .dump() +
         "\n\n";
}

const std::string Done = "data: [DONE]\n\n";

request_plan planOf(request_kind Kind) {
  request_plan Plan;
  Plan.Kind = Kind;
  Plan.RequestId = "id";
  Plan.ExpectedText = "one two";
  Plan.ExpectedField = "ref";
  Plan.ExpectedValue = "r";
  return Plan;
}

} // namespace

// Guards against a load tool that takes a damaged, foreign or cut answer for a
// good one, or a good one for damaged.
TEST_CASE("answers are judged") {
  constexpr auto Stream = request_kind::ChatStream;
  constexpr auto Chat = request_kind::Chat;
  constexpr auto Get = request_kind::Get;
  const std::string One = chunk("id", "one");
  const std::string Two = chunk("id", " two");
  const std::string Answer =
      R"({"id":"id","choices":[{"message":{"content":"one two"}}]})";
  struct row {
    request_kind Kind;
    int Status;
    std::string Body;
    const char *Transport;
    verdict Verdict;
    const char *Type;
    const char *Outcome;
  };
  const row Rows[] = {
      {Stream, 200, One + Two + Done, "", verdict::Ok, "", ""},
      {Stream, 200, One + Two, "", verdict::Incomplete, "no_done", ""},
      {Stream, 200, One, "cut", verdict::Incomplete, "cut", ""},
      {Stream, 200, One + Done, "", verdict::Wrong, "short_content", ""},
      {Stream, 200, Two + One + Done, "", verdict::Wrong, "content", ""},
      {Stream, 200, One + One + Two + Done, "", verdict::Wrong, "content", ""},
      {Stream, 200, One + chunk("x", " two") + Done, "", verdict::Wrong, "id",
       ""},
      {Stream, 200, One + "data: {\n\n" + Done, "", verdict::Wrong,
       "malformed_chunk", ""},
      {Stream, 200,
       One + "data: {\"error\":{\"type\":\"t\"},\"outcome\":\"unknown\"}\n\n",
       "", verdict::Error, "t", "unknown"},
      {Stream, 503, R"({"error":{"type":"busy"},"outcome":"not_run"})", "",
       verdict::Error, "busy", "not_run"},
      {Stream, 502, "gateway", "", verdict::Error, "http_502", ""},
      {Stream, 0, "", "connect_failed", verdict::Error, "connect_failed", ""},
      {Chat, 200, Answer, "", verdict::Ok, "", ""},
      {Chat, 200, R"({"id":"x"})", "", verdict::Wrong, "id", ""},
      {Chat, 200, R"({"id":"id"})", "", verdict::Wrong, "content", ""},
      {Chat, 200, Answer.substr(5), "", verdict::Wrong, "malformed_body", ""},
      {Get, 200, R"({"ref":"r"})", "", verdict::Ok, "", ""},
      {Get, 200, R"({"ref":"other"})", "", verdict::Wrong, "ref", ""},
      {Get, 404, R"({"error":{"type":"no_service"}})", "", verdict::Error,
       "no_service", ""},
      {Get, 200, "", "", verdict::Wrong, "malformed_body", ""},
  };
  for (const auto &Row : Rows) {
    // Any split of the bytes must give the same verdict.
    for (const std::size_t Part :
         {std::size_t(1), std::size_t(7), Row.Body.size() + 1}) {
      CAPTURE(Row.Status, Row.Body, Part);
      const auto Plan = planOf(Row.Kind);
      answer_check Check(Plan);
      for (std::size_t At = 0; At < Row.Body.size(); At += Part) {
        static_cast<void>(Check.consume(
            std::string_view(Row.Body).substr(At, Part), Row.Status));
      }
      const auto Result = Check.finish(Row.Status, Row.Transport);
      CHECK(nameOf(Result.Verdict) == nameOf(Row.Verdict));
      CHECK(Result.Type == Row.Type);
      CHECK(Result.Outcome == Row.Outcome);
    }
  }
}

// Guards against a load tool that searches a line anew with each piece of it.
TEST_CASE("the search for a line's end does not begin anew with a piece") {
  constexpr std::size_t StreamBytes = std::size_t{32} << 10U;
  const auto Plan = planOf(request_kind::ChatStream);
  for (const std::string Part : {"x", "\r", "aaaaaaa\n", "a\r\n", "\n"}) {
    const auto Bytes = tests::repeated(Part, StreamBytes);
    for (const std::size_t PieceBytes : {1, 1448}) {
      CAPTURE(Part, PieceBytes);
      answer_check Check(Plan);
      tests::forEachPiece(Bytes, PieceBytes, [&](std::string_view Piece) {
        (void)Check.consume(Piece, 200);
      });
      CHECK(Check.work().ReceivedBytes == StreamBytes);
      CHECK(Check.work().SearchedBytes == StreamBytes);
    }
  }
}

// Guards against double, lost or wrongly denied executions that go uncounted.
TEST_CASE("answers per ref are compared with the executions") {
  const check_result Ok;
  const check_result NotRun{verdict::Error, "t", "not_run"};
  const check_result Unknown{verdict::Error, "t", "unknown"};
  struct row {
    std::vector<check_result> Answers;
    int Executions;
    const char *Counted;
  };
  const row Rows[] = {
      {{Ok}, 2, "doubles"},
      {{Ok}, 0, "lost"},
      {{Unknown, Ok}, 0, "lost"},
      {{NotRun, NotRun}, 1, "ran_after_not_run"},
      {{NotRun, Unknown}, 1, "unclear_executed"},
      {{Unknown}, 0, "unclear_not_executed"},
      {{Ok}, 1, nullptr},
      {{NotRun}, 0, nullptr},
      {{NotRun, Ok}, 1, nullptr},
  };
  for (const auto &Row : Rows) {
    post_ledger Posts;
    for (const auto &Answer : Row.Answers) {
      post_ledger Part;
      Part.note("r", Answer);
      Posts.merge(Part);
    }
    const auto Counts = Posts.compare({{"r", Row.Executions}});
    for (const char *Key : {"doubles", "lost", "ran_after_not_run",
                            "unclear_executed", "unclear_not_executed"}) {
      CAPTURE(Row.Executions, Key);
      const bool Expected =
          Row.Counted != nullptr && std::string_view(Row.Counted) == Key;
      CHECK(Counts.at(Key) == (Expected ? 1 : 0));
    }
  }
}

// Guards against plans that depend on anything but the seed, and against ids
// or keys that repeat.
TEST_CASE("request plans follow from the seed") {
  const auto Teams = parseProfile(R"({"teams":[{"name":"a","api_key":"k",
    "arrival":{"rate":5},"mix":[{"kind":"chat_stream","shared_prefixes":2},
    {"kind":"post","path":"/services/x/deposits",
     "body":{"ref":"{ref}","account":"{account}","amount":3}}]}]})");
  REQUIRE(Teams);
  const auto &Team = Teams.value().front();
  request_planner First(Team, "run", 3);
  request_planner Again(Team, "run", 3);
  request_planner Other(Team, "run", 4);
  int Different = 0;
  std::string LastId;
  for (int Index = 0; Index < 50; ++Index) {
    const auto Plan = First.next("");
    CHECK(Plan.Body == Again.next("").Body);
    Different += Plan.Body != Other.next("").Body ? 1 : 0;
    CHECK(Plan.RequestId != LastId);
    LastId = Plan.RequestId;
    if (Plan.Kind == request_kind::Post) {
      CHECK(Plan.WithKey);
      CHECK(nlohmann::json::parse(Plan.Body).at("ref") == Plan.Ref);
    }
  }
  CHECK(Different > 0);
}

// Guards against profiles whose mistakes are ignored.
TEST_CASE("bad profiles are refused") {
  const char *Rows[] = {
      "",
      "{}",
      R"({"teams":[]})",
      R"([{"name":"a"}])",
      R"([{"name":"a","arrival":{},"mix":[{"kind":"chat"}]}])",
      R"([{"name":"a","arrival":{"rate":1},"mix":[]}])",
      R"([{"name":"a","arrival":{"rate":1},"mix":[{"kind":"x"}]}])",
      R"([{"name":"a","arrival":{"rate":1},"mix":[{"kind":"get"}]}])",
      R"([{"name":"a","arrival":{"rate":1},
          "mix":[{"kind":"chat","max_tokens":[9,1]}]}])"};
  for (const char *Row : Rows) {
    CAPTURE(Row);
    CHECK_FALSE(parseProfile(Row));
  }
}

// Guards against percentiles that are off by one rank.
TEST_CASE("percentiles are exact") {
  time_samples Samples;
  CHECK(Samples.percentile(50) == 0);
  for (int Value = 100; Value >= 1; --Value) {
    Samples.add(std::chrono::milliseconds(Value));
  }
  CHECK(Samples.percentile(50) == 50);
  CHECK(Samples.percentile(95) == 95);
  CHECK(Samples.percentile(99) == 99);
  CHECK(Samples.percentile(100) == 100);
}

// Guards against executions that are lost or counted twice when two workers
// share a record or one of them restarts.
TEST_CASE("an execution record is shared and survives a restart") {
  const auto Path = std::filesystem::temp_directory_path() /
                    ("arbutus_record_" + std::to_string(wallClockMillis()));
  const auto Deposit = [](const std::string &Ref) {
    execution Execution;
    Execution.Ref = Ref;
    Execution.Subject = "account";
    Execution.Amount = 5;
    return Execution;
  };
  {
    execution_log First(Path.string());
    execution_log Second(Path.string());
    REQUIRE(First.valid());
    First.append(Deposit("a"));
    Second.append(Deposit("b"));
    First.append(Deposit("b"));
    Second.refresh();
    for (const auto *Log : {&First, &Second}) {
      CHECK(Log->all().size() == 3);
      CHECK(Log->balance("account") == 15);
      CHECK(Log->doubles() == std::vector<std::string>{"b"});
    }
  }
  execution_log Restarted(Path.string());
  CHECK(Restarted.countOf("b") == 2);
  CHECK(Restarted.find("c") == nullptr);
  std::filesystem::remove(Path);
}
