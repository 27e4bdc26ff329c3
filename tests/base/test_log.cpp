#include "base/line_budget.h"
#include "base/log.h"
#include "base/log_sink.h"
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace arbutus;

namespace {

constexpr instant Start(100s);

/// Reads what is in a pipe until a text has come.
std::string readUntil(int Descriptor, const std::string &Text) {
  std::string All;
  std::array<char, 65536> Buffer{};
  while (All.find(Text) == std::string::npos) {
    const auto Count = ::read(Descriptor, Buffer.data(), Buffer.size());
    if (Count <= 0) {
      break;
    }
    All.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  return All;
}

} // namespace

// Guards against logs that grow with the load, and against a count of missing
// lines that is wrong.
TEST_CASE("a budget bounds lines a second") {
  struct row {
    std::string Name;
    double PerSecond;
    double Burst;
    int LinesPerMilli;
    int Millis;
    int Most;
  };
  const std::vector<row> Rows = {
      {"below the rate", 2000, 10, 1, 1000, 1000},
      {"a burst", 10, 50, 50, 1, 50},
      {"a flood", 100, 300, 5, 2000, 300 + 200},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    line_budget Budget(Row.PerSecond, Row.Burst);
    int Written = 0;
    for (int Milli = 0; Milli < Row.Millis; ++Milli) {
      for (int I = 0; I < Row.LinesPerMilli; ++I) {
        Written += Budget.take(Start + Milli * 1ms) ? 1 : 0;
      }
    }
    CHECK(Written <= Row.Most);
    CHECK(Written >= Row.Most * 9 / 10);
    CHECK(Budget.takeLeftOut() ==
          static_cast<std::uint64_t>(Row.LinesPerMilli * Row.Millis - Written));
    CHECK(Budget.takeLeftOut() == 0);
  }
}

// A line used to be written by the thread that logged it, so that a reader
// that stood still held up all requests of the process.
TEST_CASE("a blocked output does not block who logs") {
  std::array<int, 2> Pipe{};
  REQUIRE(::pipe(Pipe.data()) == 0);
  constexpr int Lines = 40'000;
  std::string Read;
  {
    const auto Sink = std::make_shared<impl::log_sink>(Pipe[1], true);
    spdlog::logger Logger("test", Sink);
    Logger.set_pattern("%v");
    const std::string Line(100, 'x');
    for (int I = 0; I < Lines; ++I) {
      Logger.info("{}", Line); // far more than a pipe and the buffer hold
    }
    Read = readUntil(Pipe[0], "event=log_lines_dropped lines=");
    CHECK(Read.find("event=log_lines_dropped lines=") != std::string::npos);
    Logger.info("last");
    Read += readUntil(Pipe[0], "last");
  }
  CHECK(Read.find("last") != std::string::npos);
  ::close(Pipe[0]);
}

// Guards against a process that does not end because nobody reads its output.
TEST_CASE("a blocked output does not keep the sink from ending") {
  std::array<int, 2> Pipe{};
  REQUIRE(::pipe(Pipe.data()) == 0);
  {
    const auto Sink = std::make_shared<impl::log_sink>(Pipe[1], true);
    spdlog::logger Logger("test", Sink);
    const std::string Line(1000, 'x');
    for (int I = 0; I < 1000; ++I) {
      Logger.info("{}", Line);
    }
  }
  ::close(Pipe[0]);
  SUCCEED();
}
