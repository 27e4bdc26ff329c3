#ifndef ARBUTUS_TOOLS_COMMON_LOAD_REQUEST_PLAN_H
#define ARBUTUS_TOOLS_COMMON_LOAD_REQUEST_PLAN_H

#include "common/load/profile.h"

#include <cstdint>
#include <random>
#include <string>

namespace arbutus::tools {

/// One request and what its answer must be.
struct request_plan {
  request_kind Kind = request_kind::Get;
  std::string Path;
  std::string Body;
  std::string RequestId;
  /// Ref of a POST, also its idempotency key if `WithKey`.
  std::string Ref;
  bool WithKey = false;
  int TimeoutMs = 0;
  int PromptTokens = 0;
  /// Text that a chat answer must have.
  std::string ExpectedText;
  /// Field of a plain answer and the value that it must have; empty for none.
  std::string ExpectedField;
  std::string ExpectedValue;
};

/// Draws the requests of one team. `KnownRef` is a ref that has been accepted,
/// for lookups; if it is empty, lookups by ref use an unknown one.
class request_planner {
public:
  /// `IdPrefix` must be unique to this run and planner.
  request_planner(const team_profile &Team, std::string IdPrefix,
                  std::uint64_t Seed);

  [[nodiscard]] request_plan next(const std::string &KnownRef);

  [[nodiscard]] std::mt19937_64 &random() noexcept { return Random; }

private:
  void planChat(const request_template &Template, request_plan &Plan);
  void planPlain(const request_template &Template, const std::string &KnownRef,
                 request_plan &Plan);
  [[nodiscard]] int draw(int_range Range);
  [[nodiscard]] std::string filler(std::uint64_t Seed, std::size_t Bytes) const;

  const team_profile &Team;
  std::string IdPrefix;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Mix;
  std::uint64_t Count = 0;
};

/// Replaces every `{Name}`.
[[nodiscard]] std::string substitute(std::string Text, const std::string &Name,
                                     const std::string &Value);

} // namespace arbutus::tools

#endif
