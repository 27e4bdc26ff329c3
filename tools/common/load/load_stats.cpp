#include "common/load/load_stats.h"

#include <algorithm>
#include <cmath>

namespace arbutus::tools {

namespace {

template <class Value>
void mergeMaps(std::map<std::string, Value> &Into,
               const std::map<std::string, Value> &From) {
  for (const auto &[Key, Item] : From) {
    if constexpr (std::is_arithmetic_v<Value>) {
      Into[Key] += Item;
    } else {
      Into[Key].merge(Item);
    }
  }
}

nlohmann::json samplesJson(const std::map<std::string, time_samples> &Samples) {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Kind, Item] : Samples) {
    Result[Kind] = Item.json();
  }
  return Result;
}

} // namespace

void time_samples::add(duration Time) {
  Micros.push_back(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Time.count(), 0, UINT32_MAX)));
}

void time_samples::merge(const time_samples &Other) {
  Micros.insert(Micros.end(), Other.Micros.begin(), Other.Micros.end());
}

double time_samples::percentile(double Percent) const {
  if (Micros.empty()) {
    return 0;
  }
  auto Sorted = Micros;
  const auto Count = static_cast<double>(Sorted.size());
  const auto Rank =
      static_cast<std::ptrdiff_t>(std::ceil(Count * Percent / 100));
  const auto Nth = Sorted.begin() + std::max<std::ptrdiff_t>(Rank, 1) - 1;
  std::nth_element(Sorted.begin(), Nth, Sorted.end());
  return *Nth / 1e3;
}

nlohmann::json time_samples::json() const {
  return {{"count", size()},
          {"p50", percentile(50)},
          {"p95", percentile(95)},
          {"p99", percentile(99)}};
}

void load_stats::count(const check_result &Result) {
  switch (Result.Verdict) {
  case verdict::Ok:
    ++Ok;
    break;
  case verdict::Error:
    ++Errors[Result.Type];
    ++Outcomes[Result.Outcome.empty() ? "none" : Result.Outcome];
    break;
  case verdict::Incomplete:
    ++Incomplete;
    ++IncompleteTypes[Result.Type];
    break;
  case verdict::Wrong:
    ++Wrong;
    ++WrongTypes[Result.Type];
    break;
  }
}

void load_stats::countResend(const check_result &Result) {
  ++ResendResults[Result.Verdict == verdict::Ok ? "ok" : Result.Type];
  if (Result.Verdict == verdict::Wrong) {
    ++Wrong;
    ++WrongTypes[Result.Type];
  }
}

void load_stats::merge(const load_stats &Other) {
  Sent += Other.Sent;
  Ok += Other.Ok;
  Incomplete += Other.Incomplete;
  Wrong += Other.Wrong;
  Resends += Other.Resends;
  Reconnects += Other.Reconnects;
  Unfinished += Other.Unfinished;
  AskFailures += Other.AskFailures;
  Tokens += Other.Tokens;
  Cost += Other.Cost;
  mergeMaps(Errors, Other.Errors);
  mergeMaps(Outcomes, Other.Outcomes);
  mergeMaps(WrongTypes, Other.WrongTypes);
  mergeMaps(IncompleteTypes, Other.IncompleteTypes);
  mergeMaps(ResendResults, Other.ResendResults);
  mergeMaps(Nodes, Other.Nodes);
  mergeMaps(Upstreams, Other.Upstreams);
  mergeMaps(SentByKind, Other.SentByKind);
  mergeMaps(Latency, Other.Latency);
  mergeMaps(FirstToken, Other.FirstToken);
  InterToken.merge(Other.InterToken);
}

nlohmann::json load_stats::json() const {
  return {{"sent", Sent},
          {"ok", Ok},
          {"incomplete", Incomplete},
          {"wrong", Wrong},
          {"resends", Resends},
          {"reconnects", Reconnects},
          {"unfinished", Unfinished},
          {"ask_failures", AskFailures},
          {"tokens", Tokens},
          {"cost", Cost},
          {"errors", Errors},
          {"outcomes", Outcomes},
          {"wrong_types", WrongTypes},
          {"incomplete_types", IncompleteTypes},
          {"resend_results", ResendResults},
          {"nodes", Nodes},
          {"upstreams", Upstreams},
          {"sent_by_kind", SentByKind},
          {"latency_ms", samplesJson(Latency)},
          {"first_token_ms", samplesJson(FirstToken)},
          {"inter_token_p95_ms", InterToken.percentile(95)}};
}

std::int64_t &load_series::at(buckets &Buckets, instant Now) const {
  const auto Index =
      static_cast<std::size_t>(std::max(duration(0), Now - Start) / Bucket);
  if (Buckets.size() <= Index) {
    Buckets.resize(Index + 1);
  }
  return Buckets[Index];
}

void load_series::addCost(std::size_t Team, instant Now, std::int64_t Units) {
  at(Cost[Team], Now) += Units;
}

void load_series::setInFlight(std::size_t Team, instant Now,
                              std::int64_t Requests) {
  at(InFlight[Team], Now) = Requests;
}

void load_series::merge(const load_series &Other) {
  const auto Add = [](std::vector<buckets> &Into,
                      const std::vector<buckets> &From) {
    for (std::size_t Team = 0; Team < Into.size(); ++Team) {
      if (Into[Team].size() < From[Team].size()) {
        Into[Team].resize(From[Team].size());
      }
      for (std::size_t Index = 0; Index < From[Team].size(); ++Index) {
        Into[Team][Index] += From[Team][Index];
      }
    }
  };
  Add(Cost, Other.Cost);
  Add(InFlight, Other.InFlight);
}

nlohmann::json load_series::json(const std::vector<std::string> &Names) const {
  std::size_t Longest = 0;
  for (const auto *Series : {&Cost, &InFlight}) {
    for (const auto &Buckets : *Series) {
      Longest = std::max(Longest, Buckets.size());
    }
  }
  nlohmann::json Teams = nlohmann::json::object();
  for (std::size_t Team = 0; Team < Names.size(); ++Team) {
    auto Units = Cost[Team];
    auto Requests = InFlight[Team];
    Units.resize(Longest);
    Requests.resize(Longest);
    Teams[Names[Team]] = {{"cost", Units}, {"in_flight", Requests}};
  }
  return {{"interval_ms", toMicros(Bucket) / 1000}, {"teams", Teams}};
}

} // namespace arbutus::tools
