#include "common/load/post_ledger.h"

namespace arbutus::tools {

void post_ledger::note(const std::string &Ref, const check_result &Result) {
  auto &Answers = Refs[Ref];
  if (Result.Verdict == verdict::Ok) {
    ++Answers.Ok;
  } else if (Result.Outcome == "not_run") {
    ++Answers.NotRun;
  } else {
    ++Answers.Other;
  }
}

void post_ledger::merge(const post_ledger &Other) {
  for (const auto &[Ref, Answers] : Other.Refs) {
    auto &Into = Refs[Ref];
    Into.Ok += Answers.Ok;
    Into.NotRun += Answers.NotRun;
    Into.Other += Answers.Other;
  }
}

nlohmann::json
post_ledger::compare(const std::map<std::string, int> &Executions) const {
  std::int64_t Executed = 0;
  std::int64_t Doubles = 0;
  std::int64_t Lost = 0;
  std::int64_t RanAfterNotRun = 0;
  std::int64_t UnclearExecuted = 0;
  std::int64_t UnclearNotExecuted = 0;
  for (const auto &[Ref, Answers] : Refs) {
    const auto Found = Executions.find(Ref);
    const int Count = Found == Executions.end() ? 0 : Found->second;
    Executed += Count > 0 ? 1 : 0;
    Doubles += Count > 1 ? 1 : 0;
    if (Answers.Ok > 0) {
      Lost += Count == 0 ? 1 : 0;
    } else if (Answers.Other > 0) {
      ++(Count > 0 ? UnclearExecuted : UnclearNotExecuted);
    } else {
      RanAfterNotRun += Count > 0 ? 1 : 0;
    }
  }
  return {{"refs", Refs.size()},
          {"executed", Executed},
          {"doubles", Doubles},
          {"lost", Lost},
          {"ran_after_not_run", RanAfterNotRun},
          {"unclear_executed", UnclearExecuted},
          {"unclear_not_executed", UnclearNotExecuted}};
}

std::string post_ledger::lines() const {
  std::string Result;
  for (const auto &[Ref, Answers] : Refs) {
    Result += nlohmann::json{{"ref", Ref},
                             {"ok", Answers.Ok},
                             {"not_run", Answers.NotRun},
                             {"other", Answers.Other}}
                  .dump() +
              "\n";
  }
  return Result;
}

} // namespace arbutus::tools
