#include "common/load/profile.h"

namespace arbutus::tools {

namespace {

using nlohmann::json;

struct invalid_profile : std::runtime_error {
  using std::runtime_error::runtime_error;
};

int_range readRange(const json &Row, const char *Key, int_range Default) {
  const auto Found = Row.find(Key);
  if (Found == Row.end()) {
    return Default;
  }
  const int_range Range =
      Found->is_array()
          ? int_range{Found->at(0).get<int>(), Found->at(1).get<int>()}
          : int_range{Found->get<int>(), Found->get<int>()};
  if (Range.Least < 1 || Range.Most < Range.Least) {
    throw invalid_profile(std::string(Key) + " is not a range from 1 up");
  }
  return Range;
}

request_template readTemplate(const json &Row) {
  request_template Result;
  const auto Kind = valueOf<request_kind>(Row.at("kind").get<std::string>());
  if (!Kind) {
    throw invalid_profile("unknown kind of request");
  }
  Result.Kind = *Kind;
  const bool Chat =
      *Kind == request_kind::ChatStream || *Kind == request_kind::Chat;
  Result.Path = Chat ? Row.value("path", "/v1/chat/completions")
                     : Row.at("path").get<std::string>();
  Result.Weight = Row.value("weight", 1.0);
  Result.Model = Row.value("model", "model");
  Result.PromptBytes = readRange(Row, "prompt_bytes", Result.PromptBytes);
  Result.MaxTokens = readRange(Row, "max_tokens", Result.MaxTokens);
  Result.SharedPrefixes = Row.value("shared_prefixes", 0);
  Result.PrefixBytes = Row.value("prefix_bytes", Result.PrefixBytes);
  Result.Accounts = std::max(1, Row.value("accounts", Result.Accounts));
  Result.WithKey = Row.value("key", true);
  Result.TimeoutMs = Row.value("timeout_ms", Result.TimeoutMs);
  if (*Kind == request_kind::Post) {
    Result.Body = Row.at("body");
    if (!Result.Body.is_object()) {
      throw invalid_profile("body is not an object");
    }
  }
  if (Result.Weight <= 0) {
    throw invalid_profile("weight is not above 0");
  }
  return Result;
}

team_profile readTeam(const json &Row) {
  team_profile Team;
  Team.Name = Row.at("name").get<std::string>();
  Team.ApiKey = Row.value("api_key", "");
  const auto &Arrival = Row.at("arrival");
  Team.Rate = Arrival.value("rate", 0.0);
  Team.Concurrency = Arrival.value("concurrency", 0);
  if ((Team.Rate > 0) == (Team.Concurrency > 0)) {
    throw invalid_profile("arrival needs either rate or concurrency");
  }
  Team.ErrorBackoffMs = Row.value("error_backoff_ms", Team.ErrorBackoffMs);
  Team.Skew = Row.value("skew", Team.Skew);
  Team.StartSeconds = Row.value("start_seconds", 0.0);
  Team.EndSeconds = Row.value("end_seconds", 0.0);
  for (const auto &Item : Row.at("mix")) {
    Team.Mix.push_back(readTemplate(Item));
  }
  if (Team.Mix.empty()) {
    throw invalid_profile("mix is empty");
  }
  return Team;
}

} // namespace

result<std::vector<team_profile>, profile_error>
parseProfile(const std::string &Text) {
  std::vector<team_profile> Teams;
  std::string Where = "profile";
  try {
    const auto Document = json::parse(Text);
    const auto &Rows = Document.is_array() ? Document : Document.at("teams");
    for (const auto &Row : Rows) {
      Where = "team " + std::to_string(Teams.size());
      Teams.push_back(readTeam(Row));
    }
    if (Teams.empty()) {
      return profile_error{"profile: no teams"};
    }
    return Teams;
  } catch (const std::exception &Error) {
    return profile_error{Where + ": " + Error.what()};
  }
}

} // namespace arbutus::tools
