#include "common/service/execution_log.h"

#include <nlohmann/json.hpp>

namespace arbutus::tools {

namespace {

using nlohmann::json;

execution parseLine(const std::string &Line) {
  const auto Row = json::parse(Line, nullptr, false);
  execution Result;
  if (!Row.is_object()) {
    return Result;
  }
  Result.Ref = Row.value("ref", "");
  Result.Method = Row.value("method", "");
  Result.Path = Row.value("path", "");
  Result.RequestId = Row.value("request_id", "");
  Result.IdempotencyKey = Row.value("key", "");
  Result.Subject = Row.value("subject", "");
  Result.Amount = Row.value("amount", std::int64_t(0));
  Result.TimeMs = Row.value("time_ms", std::int64_t(0));
  Result.Worker = Row.value("worker", 0);
  return Result;
}

} // namespace

execution_log::execution_log(const std::string &Path) : Path(Path) {
  if (!Path.empty()) {
    Output.reset(std::fopen(Path.c_str(), "a"));
    Input.open(Path);
    refresh();
  }
}

void execution_log::append(const execution &Execution) {
  if (!Output) {
    index(Execution);
    return;
  }
  // One write of a whole line, so that lines of other workers do not mix in.
  const std::string Line = executionLine(Execution) + "\n";
  std::fwrite(Line.data(), 1, Line.size(), Output.get());
  std::fflush(Output.get());
  refresh();
}

void execution_log::refresh() {
  if (!Input.is_open()) {
    return;
  }
  Input.clear();
  char Buffer[65536];
  while (Input.read(Buffer, sizeof(Buffer)), Input.gcount() > 0) {
    Partial.append(Buffer, static_cast<std::size_t>(Input.gcount()));
  }
  std::size_t Start = 0;
  for (auto End = Partial.find('\n'); End != std::string::npos;
       End = Partial.find('\n', Start)) {
    index(parseLine(Partial.substr(Start, End - Start)));
    Start = End + 1;
  }
  Partial.erase(0, Start);
}

void execution_log::index(execution Execution) {
  Balances[Execution.Subject] += Execution.Amount;
  ++Refs.try_emplace(Execution.Ref, ref_entry{Executions.size(), 0})
        .first->second.Count;
  Executions.push_back(std::move(Execution));
}

std::int64_t execution_log::balance(const std::string &Subject) const {
  const auto Found = Balances.find(Subject);
  return Found == Balances.end() ? 0 : Found->second;
}

int execution_log::countOf(const std::string &Ref) const {
  const auto Found = Refs.find(Ref);
  return Found == Refs.end() ? 0 : Found->second.Count;
}

const execution *execution_log::find(const std::string &Ref) const {
  const auto Found = Refs.find(Ref);
  return Found == Refs.end() ? nullptr : &Executions[Found->second.First];
}

std::vector<std::string> execution_log::doubles() const {
  std::vector<std::string> Result;
  for (const auto &[Ref, Entry] : Refs) {
    if (Entry.Count > 1) {
      Result.push_back(Ref);
    }
  }
  return Result;
}

std::string executionLine(const execution &Execution) {
  return json{{"ref", Execution.Ref},
              {"method", Execution.Method},
              {"path", Execution.Path},
              {"request_id", Execution.RequestId},
              {"key", Execution.IdempotencyKey},
              {"subject", Execution.Subject},
              {"amount", Execution.Amount},
              {"time_ms", Execution.TimeMs},
              {"worker", Execution.Worker}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace arbutus::tools
