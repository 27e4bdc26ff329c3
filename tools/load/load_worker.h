#ifndef ARBUTUS_TOOLS_LOAD_LOAD_WORKER_H
#define ARBUTUS_TOOLS_LOAD_LOAD_WORKER_H

#include "address_book.h"
#include "common/load/answer_check.h"
#include "common/load/load_stats.h"
#include "common/load/post_ledger.h"
#include "common/load/profile.h"
#include "common/load/request_plan.h"
#include "curl_loop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::tools {

struct load_options {
  std::vector<team_profile> Teams;
  std::vector<std::string> Targets;
  /// Addresses to ask for the targets; used if `Targets` is empty.
  std::vector<std::string> Ask;
  std::uint64_t Seed = 0;
  duration Length{};
  /// Wait for open requests after the end.
  duration Drain{};
  int Threads = 2;
  /// Share of POSTs with a key that are sent again under the same key.
  double ResendPercent = 0;
  bool ResendOtherRouter = false;
  /// Attempts after an answer with outcome `not_run`.
  int RetryNotRun = 0;
  /// Requests in flight per thread; further arrivals count as errors.
  std::size_t MostInFlight = 0;
  /// Distinguishes the keys and ids of this run from those of others.
  std::string RunId;
};

/// Load of one thread: its share of every team.
class load_worker {
public:
  load_worker(const load_options &Options, int Thread, instant Start);

  /// Runs until the end of the load and of all open requests.
  void run();

  [[nodiscard]] const std::vector<load_stats> &stats() const noexcept {
    return Stats;
  }
  [[nodiscard]] const load_series &series() const noexcept { return Series; }
  [[nodiscard]] const post_ledger &posts() const noexcept { return Posts; }

private:
  struct team_state {
    request_planner Planner;
    address_book Book;
    std::int64_t InFlight = 0;
    std::vector<std::string> KnownRefs;
  };

  struct request {
    std::size_t Team = 0;
    request_plan Plan;
    std::optional<answer_check> Check;
    std::string Address;
    /// Intended start, so that a late start counts as latency.
    instant Intended{};
    instant LastToken{};
    int Attempts = 0;
    bool IsResend = false;
    bool ResendAfterAnswer = false;
    bool Counted = false;
    /// The caller starts another one at the end, in a closed team.
    bool Closed = false;
  };
  using request_ptr = std::shared_ptr<request>;

  void startTeam(std::size_t Team);
  void scheduleArrival(std::size_t Team, instant At);
  void ask(std::size_t Team, std::size_t Attempt);
  void launch(std::size_t Team, instant Intended, bool Closed);
  void planResend(const request_ptr &Request);
  void resend(const request &Original);
  void send(const request_ptr &Request, const std::string &Address);
  void onHeader(const request &Request, std::string_view Line);
  void onBody(request &Request, std::string_view Bytes, int Status);
  void onDone(const request_ptr &Request, int Status, CURLcode Code);
  [[nodiscard]] bool retry(const request_ptr &Request,
                           const check_result &Result, CURLcode Code);
  void finish(const request_ptr &Request, const check_result &Result);
  void addCost(std::size_t Team, std::int64_t Units, instant Now);
  void sampleInFlight();
  [[nodiscard]] bool active(std::size_t Team, instant Now) const;
  [[nodiscard]] std::string knownRef(std::size_t Team);

  const load_options &Options;
  int Thread;
  instant Start;
  instant End;
  curl_loop Loop;
  std::vector<team_state> Teams;
  std::vector<load_stats> Stats;
  load_series Series;
  post_ledger Posts;
};

} // namespace arbutus::tools

#endif
