#ifndef ARBUTUS_TOOLS_COMMON_LOAD_POST_LEDGER_H
#define ARBUTUS_TOOLS_COMMON_LOAD_POST_LEDGER_H

#include "common/load/answer_check.h"
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace arbutus::tools {

/// What callers were told about each ref, for comparison with the executions.
class post_ledger {
public:
  /// Notes one answer, or a missing one, to a request with this ref.
  void note(const std::string &Ref, const check_result &Result);

  void merge(const post_ledger &Other);

  /// Compares with the number of executions per ref. The object counts
  /// `executed` refs, `doubles` (executed more than once), `lost` (answered
  /// with success, never executed), `ran_after_not_run` (every answer said
  /// `not_run`, executed) and the refs of unclear outcome by what happened.
  [[nodiscard]] nlohmann::json
  compare(const std::map<std::string, int> &Executions) const;

  /// One JSON line per ref: `ref`, `ok`, `not_run` and `other`.
  [[nodiscard]] std::string lines() const;

private:
  struct answers {
    int Ok = 0;
    int NotRun = 0;
    int Other = 0;
  };
  std::map<std::string, answers> Refs;
};

} // namespace arbutus::tools

#endif
