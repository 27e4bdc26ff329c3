#ifndef ARBUTUS_TOOLS_COMMON_LOAD_LOAD_STATS_H
#define ARBUTUS_TOOLS_COMMON_LOAD_LOAD_STATS_H

#include "base/clock.h"
#include "common/load/answer_check.h"
#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::tools {

/// Times of one kind of event, kept one by one for exact percentiles.
class time_samples {
public:
  void add(duration Time);
  void merge(const time_samples &Other);
  [[nodiscard]] std::size_t size() const noexcept { return Micros.size(); }
  /// Value in milliseconds that this percentage of samples does not exceed;
  /// 0 without samples.
  [[nodiscard]] double percentile(double Percent) const;
  /// Object with `count`, `p50`, `p95` and `p99`.
  [[nodiscard]] nlohmann::json json() const;

private:
  std::vector<std::uint32_t> Micros;
};

/// Counts of one team in one thread; `merge` joins threads and teams.
struct load_stats {
  std::int64_t Sent = 0;
  std::int64_t Ok = 0;
  std::int64_t Incomplete = 0;
  std::int64_t Wrong = 0;
  std::int64_t Resends = 0;
  std::int64_t Reconnects = 0;
  std::int64_t Unfinished = 0;
  /// Questions for addresses without a usable answer.
  std::int64_t AskFailures = 0;
  std::int64_t Tokens = 0;
  std::int64_t Cost = 0;
  std::map<std::string, std::int64_t> Errors;
  std::map<std::string, std::int64_t> Outcomes;
  std::map<std::string, std::int64_t> WrongTypes;
  std::map<std::string, std::int64_t> IncompleteTypes;
  /// Results of resends under the same key: `ok` or the type of the error.
  std::map<std::string, std::int64_t> ResendResults;
  std::map<std::string, std::int64_t> Nodes;
  std::map<std::string, std::int64_t> Upstreams;
  std::map<std::string, std::int64_t> SentByKind;
  std::map<std::string, time_samples> Latency;
  std::map<std::string, time_samples> FirstToken;
  time_samples InterToken;

  /// Counts the end of one request.
  void count(const check_result &Result);
  /// Counts the end of a resend; a wrong answer also counts as wrong.
  void countResend(const check_result &Result);
  void merge(const load_stats &Other);
  [[nodiscard]] nlohmann::json json() const;
};

/// Cost and requests in flight per team in buckets of 100 ms.
class load_series {
public:
  static constexpr duration Bucket = 100ms;

  load_series(std::size_t Teams, instant Start)
      : Start(Start), Cost(Teams), InFlight(Teams) {}

  void addCost(std::size_t Team, instant Now, std::int64_t Units);
  /// Records the requests in flight at a moment; the last of a bucket counts.
  void setInFlight(std::size_t Team, instant Now, std::int64_t Requests);
  void merge(const load_series &Other);
  /// Object with `interval_ms` and, per team name, `cost` and `in_flight`.
  [[nodiscard]] nlohmann::json
  json(const std::vector<std::string> &Names) const;

private:
  using buckets = std::vector<std::int64_t>;
  [[nodiscard]] std::int64_t &at(buckets &Buckets, instant Now) const;

  instant Start;
  std::vector<buckets> Cost;
  std::vector<buckets> InFlight;
};

} // namespace arbutus::tools

#endif
