#include "net/resend_table.h"
#include <catch2/catch.hpp>

#include <string>

using namespace arbutus;
using namespace arbutus::net;

namespace {

constexpr auto Period = std::chrono::milliseconds(5);

struct table_fixture {
  asio::io_context Io;
  std::map<std::uint64_t, int> Sent;
  std::vector<std::string> Expired;
  resend_table<std::string> Table{
      Io, Period,
      [this](std::uint64_t Number, const std::string &) { ++Sent[Number]; },
      [this](const std::string &Content) { Expired.push_back(Content); }};

  /// Runs the loop until the condition holds, at most for a long time.
  bool runUntil(const std::function<bool()> &Condition) {
    const instant Deadline = monotonic_clock::now() + 20s;
    while (!Condition() && monotonic_clock::now() < Deadline) {
      Io.run_for(Period);
      Io.restart();
    }
    return Condition();
  }
};

} // namespace

// Guards against a message that is lost once and never sent again, and against
// one that is repeated after its answer.
TEST_CASE("a message is sent again until it is answered") {
  table_fixture Fixture;
  const instant Late = monotonic_clock::now() + 1h;
  const auto First = Fixture.Table.add("first", Late);
  const auto Second = Fixture.Table.add("second", Late);
  CHECK(First != Second);
  CHECK(Fixture.Sent[First] == 1); // at once
  REQUIRE(Fixture.runUntil([&] { return Fixture.Sent[First] >= 3; }));
  CHECK(Fixture.Table.extract(First) == "first");
  CHECK_FALSE(Fixture.Table.extract(First)); // a late second answer
  CHECK_FALSE(Fixture.Table.extract(99));
  const int Before = Fixture.Sent[First];
  const int SecondBefore = Fixture.Sent[Second];
  REQUIRE(
      Fixture.runUntil([&] { return Fixture.Sent[Second] > SecondBefore; }));
  CHECK(Fixture.Sent[First] == Before);
  CHECK(Fixture.Table.size() == 1);
  CHECK(Fixture.Expired.empty());
}

// Guards against callers that wait for ever, and against an expiry that changes
// the table while it is walked.
TEST_CASE("a message without an answer expires once") {
  table_fixture Fixture;
  const instant Now = monotonic_clock::now();
  (void)Fixture.Table.add("a", Now);
  (void)Fixture.Table.add("b", Now);
  REQUIRE(Fixture.runUntil([&] { return Fixture.Table.size() == 0; }));
  CHECK(Fixture.Expired == std::vector<std::string>{"a", "b"});
}
