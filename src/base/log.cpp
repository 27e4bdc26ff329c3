#include "base/log.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace arbutus {

namespace {

std::shared_ptr<spdlog::logger> Logger; // NOLINT: process-wide by design
std::string NodeName;                   // NOLINT: set once before threads start

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

} // namespace

log_field::log_field(std::string_view Key, double Value)
    : Key(Key), Value(fmt::format("{:.6g}", Value)) {}

void openLog(const std::string &Path, log_level Minimum,
             std::string_view Node) {
  if (Path.empty()) {
    Logger = spdlog::stderr_logger_mt("arbutus");
  } else {
    Logger = spdlog::basic_logger_mt("arbutus", Path);
    spdlog::flush_every(std::chrono::seconds(1));
  }
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f%z level=%l %v");
  Logger->set_level(toSpdlog(Minimum));
  Logger->flush_on(spdlog::level::warn);
  NodeName = Node;
}

bool logEnabled(log_level Level) noexcept {
  return Logger && Logger->should_log(toSpdlog(Level));
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  if (!logEnabled(Level)) {
    return;
  }
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

void flushLog() {
  if (Logger) {
    Logger->flush();
  }
}

} // namespace arbutus
