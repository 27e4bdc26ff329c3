#include "base/log.h"
#include "base/log_rate_limiter.h"
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

/// Reads from a pipe until `Text` has arrived.
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

// Guards against logs that grow with the load, and against a wrong count of
// suppressed lines.
TEST_CASE("the rate limiter bounds lines per second") {
  struct row {
    std::string Name;
    double PerSecond;
    double Burst;
    int LinesPerMs;
    int DurationMs;
    int MaxLines;
  };
  const std::vector<row> Rows = {
      {"below the rate", 2000, 10, 1, 1000, 1000},
      {"a burst", 10, 50, 50, 1, 50},
      {"a flood", 100, 300, 5, 2000, 300 + 200},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    log_rate_limiter Limiter(Row.PerSecond, Row.Burst);
    int Written = 0;
    for (int Ms = 0; Ms < Row.DurationMs; ++Ms) {
      for (int I = 0; I < Row.LinesPerMs; ++I) {
        Written += Limiter.tryAcquire(Start + Ms * 1ms) ? 1 : 0;
      }
    }
    CHECK(Written <= Row.MaxLines);
    CHECK(Written >= Row.MaxLines * 9 / 10);
    CHECK(
        Limiter.resetSuppressedCount() ==
        static_cast<std::uint64_t>(Row.LinesPerMs * Row.DurationMs - Written));
    CHECK(Limiter.resetSuppressedCount() == 0);
  }
}

// Guards against a line that is written by the thread that logs it: a reader of
// the log that stops reading would then block all requests of the process.
TEST_CASE("a blocked output does not block logging threads") {
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
      Logger.info("{}", Line); // Far more than the pipe and the buffer hold.
    }
    Read = readUntil(Pipe[0], "event=log_lines_dropped lines=");
    CHECK(Read.find("event=log_lines_dropped lines=") != std::string::npos);
    Logger.info("last");
    Read += readUntil(Pipe[0], "last");
  }
  CHECK(Read.find("last") != std::string::npos);
  ::close(Pipe[0]);
}

// Guards against a process that cannot exit because nothing reads its output.
TEST_CASE("a blocked output does not delay destruction of the sink") {
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
