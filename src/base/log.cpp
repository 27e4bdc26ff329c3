#include "base/log.h"

#include "base/log_rate_limiter.h"
#include "base/log_sink.h"
#include <fcntl.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <mutex>
#include <system_error>
#include <utility>

namespace arbutus {

namespace {

std::shared_ptr<spdlog::logger> Logger; // NOLINT: process-wide by design
std::string NodeName;                   // NOLINT: set once before threads start

/// Rate limits for lines about successful requests ("routine") and for all
/// other lines. Under load the first can be suppressed without losing the cause
/// of a failure.
constexpr double RoutineLinesPerSecond = 100;
constexpr double RoutineBurstLines = 300;
constexpr double OtherLinesPerSecond = 300;
constexpr double OtherBurstLines = 1000;
/// Shortest time between two `log_lines_left_out` lines.
constexpr duration SuppressedReportInterval = 1s;

/// Rate limiters of the process, with the suppressed lines not yet reported.
struct log_rate_limiters {
  std::mutex Mutex;
  log_rate_limiter Routine{RoutineLinesPerSecond, RoutineBurstLines};
  log_rate_limiter Other{OtherLinesPerSecond, OtherBurstLines};
  std::uint64_t RoutineSuppressed = 0;
  std::uint64_t OtherSuppressed = 0;
  instant LastReportAt{};
};

log_rate_limiters &rateLimiters() {
  static log_rate_limiters Limiters;
  return Limiters;
}

spdlog::level::level_enum toSpdlog(log_level Level) noexcept {
  switch (Level) {
  case log_level::Debug:
    return spdlog::level::debug;
  case log_level::Info:
    return spdlog::level::info;
  case log_level::Warning:
    return spdlog::level::warn;
  case log_level::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool needsQuotes(std::string_view Value) noexcept {
  if (Value.empty()) {
    return true;
  }
  for (const char C : Value) {
    if (static_cast<unsigned char>(C) <= ' ' || C == '"' || C == '=' ||
        C == '\\' || C == 0x7f) {
      return true;
    }
  }
  return false;
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char C : Value) {
    if (C == '"' || C == '\\') {
      Line += '\\';
      Line += C;
    } else if (static_cast<unsigned char>(C) < ' ' || C == 0x7f) {
      Line += fmt::format("\\x{:02x}", static_cast<unsigned char>(C));
    } else {
      Line += C;
    }
  }
  Line += '"';
}

void writeLine(log_level Level, std::string_view Event,
               std::initializer_list<log_field> Fields) {
  std::string Line = "node=";
  appendValue(Line, NodeName);
  Line += " event=";
  Line += Event;
  for (const auto &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    appendValue(Line, Field.Value);
  }
  Logger->log(toSpdlog(Level), "{}", Line);
}

/// True if the limiter allows a line now. Writes a `log_lines_left_out` line
/// when one is due.
bool allowLine(log_rate_limiter log_rate_limiters::*Limiter) {
  auto &Limiters = rateLimiters();
  const instant Now = monotonic_clock::now();
  std::uint64_t Routine = 0;
  std::uint64_t Other = 0;
  bool Allowed = false;
  {
    const std::lock_guard Lock(Limiters.Mutex);
    Allowed = (Limiters.*Limiter).tryAcquire(Now);
    Limiters.RoutineSuppressed += Limiters.Routine.resetSuppressedCount();
    Limiters.OtherSuppressed += Limiters.Other.resetSuppressedCount();
    const bool AnySuppressed =
        Limiters.RoutineSuppressed + Limiters.OtherSuppressed != 0;
    if (AnySuppressed &&
        Now - Limiters.LastReportAt >= SuppressedReportInterval) {
      Limiters.LastReportAt = Now;
      Routine = std::exchange(Limiters.RoutineSuppressed, 0);
      Other = std::exchange(Limiters.OtherSuppressed, 0);
    }
  }
  if (Routine + Other != 0) {
    writeLine(log_level::Warning, "log_lines_left_out",
              {{"routine", Routine}, {"other", Other}});
  }
  return Allowed;
}

/// Opens the log file; an empty path stands for standard output.
int openOutput(const std::string &Path) {
  if (Path.empty()) {
    return STDOUT_FILENO;
  }
  constexpr int FileMode = 0644;
  const int File =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
  if (File < 0) {
    throw std::system_error(errno, std::generic_category(), Path);
  }
  return File;
}

} // namespace

log_field::log_field(std::string_view Key, double Value)
    : Key(Key), Value(fmt::format("{:.6g}", Value)) {}

void openLog(const std::string &Path, log_level Minimum,
             std::string_view Node) {
  Logger = std::make_shared<spdlog::logger>(
      "arbutus",
      std::make_shared<impl::log_sink>(openOutput(Path), !Path.empty()));
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f%z level=%l %v");
  Logger->set_level(toSpdlog(Minimum));
  NodeName = Node;
}

bool logEnabled(log_level Level) noexcept {
  return Logger && Logger->should_log(toSpdlog(Level));
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  if (logEnabled(Level) && allowLine(&log_rate_limiters::Other)) {
    writeLine(Level, Event, Fields);
  }
}

void logRoutine(std::string_view Event,
                std::initializer_list<log_field> Fields) {
  if (logEnabled(log_level::Info) && allowLine(&log_rate_limiters::Routine)) {
    writeLine(log_level::Info, Event, Fields);
  }
}

void flushLog() {
  if (Logger) {
    Logger->flush();
  }
}

} // namespace arbutus
