#ifndef ARBUTUS_TOOLS_COMMON_LOAD_PROFILE_H
#define ARBUTUS_TOOLS_COMMON_LOAD_PROFILE_H

#include "base/name_table.h"
#include "base/result.h"
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace arbutus::tools {

enum class request_kind { ChatStream, Chat, Get, Post };

/// Inclusive range of a uniform distribution.
struct int_range {
  int Least = 0;
  int Most = 0;
};

/// One kind of request in a team's mix.
struct request_template {
  request_kind Kind = request_kind::Get;
  double Weight = 1;
  /// Path; `{account}` and `{ref}` are replaced.
  std::string Path;
  std::string Model;
  int_range PromptBytes{100, 400};
  int_range MaxTokens{8, 64};
  /// Number of texts that prompts share as their start; 0 for none.
  int SharedPrefixes = 0;
  int PrefixBytes = 512;
  /// Body of a POST; `{account}` and `{ref}` are replaced in its strings.
  nlohmann::json Body;
  bool WithKey = true;
  /// Accounts are numbered from 0 to before this.
  int Accounts = 16;
  int TimeoutMs = 60000;
};

struct team_profile {
  std::string Name;
  std::string ApiKey;
  /// Open arrivals per second over all threads; 0 for a closed team.
  double Rate = 0;
  /// Requests in flight of a closed team over all threads.
  int Concurrency = 0;
  /// Wait of a closed team after an error, so that refusals do not spin.
  int ErrorBackoffMs = 50;
  /// Share of each target; empty means even. The list repeats if it is short.
  std::vector<double> Skew;
  /// Seconds from the start in which the team is active; `EndSeconds` 0 means
  /// until the end.
  double StartSeconds = 0;
  double EndSeconds = 0;
  std::vector<request_template> Mix;
};

struct profile_error {
  std::string Message;
};

/// Reads a profile. The error names the team and the reason.
[[nodiscard]] result<std::vector<team_profile>, profile_error>
parseProfile(const std::string &Text);

} // namespace arbutus::tools

namespace arbutus {

template <> struct name_table<tools::request_kind> {
  static constexpr name_row<tools::request_kind> Rows[] = {
      {tools::request_kind::ChatStream, "chat_stream"},
      {tools::request_kind::Chat, "chat"},
      {tools::request_kind::Get, "get"},
      {tools::request_kind::Post, "post"},
  };
};

} // namespace arbutus

#endif
