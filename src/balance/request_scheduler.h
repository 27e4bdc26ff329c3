#ifndef ARBUTUS_BALANCE_REQUEST_SCHEDULER_H
#define ARBUTUS_BALANCE_REQUEST_SCHEDULER_H

#include "balance/decayed_rate.h"
#include "balance/prefill_time_estimator.h"
#include "balance/queued_request.h"
#include "balance/response_time_estimator.h"
#include "balance/upstream_load.h"
#include "base/name_table.h"
#include "pool/fair_scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutus::balance {

/// A queued request that can be sent to an upstream now.
struct dispatch_decision {
  std::uint64_t RequestId = 0;
  upstream_id Upstream{};
};

/// A queued request that could not be sent in time.
struct expired_request {
  std::uint64_t RequestId = 0;
  /// The upstream that it was queued for; 0 if none could take requests.
  upstream_id Preferred{};
};

/// Result of an attempt as far as it says something about the upstream.
enum class upstream_result {
  Succeeded,
  Failed,      ///< server error, or no complete response
  Overloaded,  ///< had no capacity left
  Unreachable, ///< could not be connected to
  Ignored,     ///< says nothing, for example after a cancelled request
};

/// Schedules requests over interchangeable upstreams. Selects an upstream for
/// each request by load and by the part of the prompt that it probably has
/// cached, and queues requests per team while the preferred upstream is full.
/// Waiting teams are served by weighted fair queueing. Not thread-safe; the
/// current time is always an argument.
class request_scheduler {
public:
  /// `Seed` differs between routers, so that their first requests to a cold
  /// upstream are spread over time.
  explicit request_scheduler(std::uint64_t Seed) noexcept;

  void setUpstreams(const std::vector<upstream_info> &List, instant Now);
  /// Number of schedulers that send to the same upstreams independently of each
  /// other; 1 if this scheduler sees all requests.
  void setSchedulerCount(std::uint32_t Count) noexcept;

  /// Estimated queueing time of a new request of this team: the queued cost of
  /// the team divided by its recent service rate, or by an even share of the
  /// total rate if that is higher. Zero until requests have been waiting long
  /// enough to measure a rate.
  [[nodiscard]] duration expectedWait(team_id Team, instant Now) const;
  /// False if the expected wait exceeds the dispatch deadline. Such a request
  /// should be refused at once.
  [[nodiscard]] bool canServeInTime(const queued_request &Request,
                                    instant Now) const {
    return Now + expectedWait(Request.Team, Now) <=
           dispatchDeadline(Request, Now);
  }
  /// Latest time at which the request may be sent. This is its own dispatch
  /// deadline, or an earlier time if it would otherwise miss its response
  /// target: by the response time of plain upstreams, or by the time that model
  /// engines take to prefill what they have not cached of the prompt.
  [[nodiscard]] instant dispatchDeadline(const queued_request &Request,
                                         instant Now) const;
  /// Returns the upstream if the request can be sent now; otherwise queues it
  /// and returns nothing.
  [[nodiscard]] std::optional<upstream_id> enqueue(queued_request Request,
                                                   instant Now);
  /// Removes a waiting request. Returns false if the request is not waiting.
  bool cancel(std::uint64_t RequestId);
  /// Records the first byte of the response: the upstream has processed the
  /// prompt.
  void onFirstByte(std::uint64_t RequestId, instant Now);
  /// Records the result of a request that was sent. Unknown ids are ignored.
  void complete(std::uint64_t RequestId, upstream_result Result, instant Now);
  /// Stores a load report of an upstream. Reports older than the stored one are
  /// ignored.
  void onLoadReport(upstream_id Upstream, const load_report &Load);

  /// Records the rate limit in an answer of an upstream; nothing if the answer
  /// names none. The request is in flight here, or was sent at `SentAt`.
  /// Returns true if the limit changes.
  bool recordRateLimit(std::uint64_t RequestId, std::optional<double> PerSecond,
                       instant Now);
  bool recordRateLimit(upstream_id Upstream, std::optional<double> PerSecond,
                       instant SentAt, instant Now);
  /// Takes over a rate limit that another scheduler has learned from an answer
  /// at `AnsweredAt`, if it is newer. Returns true if the limit changes.
  bool mergeRateLimit(upstream_id Upstream, std::optional<double> PerSecond,
                      instant AnsweredAt, instant Now);
  /// Counts a request that was sent under the previous owner of the cell as in
  /// flight.
  void restoreInFlight(std::uint64_t RequestId, upstream_id Upstream);

  /// Removes the waiting requests that can be sent now and returns them in fair
  /// order with their upstreams. Charges their cost to the teams.
  [[nodiscard]] std::vector<dispatch_decision> dispatchReady(instant Now);
  /// Removes and returns waiting requests whose dispatch deadline has passed.
  [[nodiscard]] std::vector<expired_request> expireWaiting(instant Now);

  /// Share of the upstreams without capacity, 0 to 1, as the latest requests
  /// found them on their arrival.
  [[nodiscard]] double busyShare() const noexcept { return BusyShare; }

  [[nodiscard]] std::size_t waitingCount() const noexcept {
    return WaitingById.size();
  }
  [[nodiscard]] bool hasUsableUpstream() const noexcept;
  [[nodiscard]] const upstream_load *find(upstream_id Upstream) const;

private:
  struct in_flight_request {
    upstream_id Upstream{};
    /// Tokens that were not cached, 0 once they are processed.
    std::uint64_t PrefillTokens = 0;
    instant SentAt{};
  };

  /// What the engines have cached of one prompt.
  struct cache_estimate {
    /// Engine that probably has the shared prefix although no request was seen
    /// to bring it there; 0 if an engine is known to have it.
    upstream_id Home{};
    /// Fewest tokens that any engine has to prefill.
    std::uint64_t MinUncached = 0;
    /// Penalty of each token that an engine prefills beyond these.
    double MissPenaltyPerToken = 0;
  };

  /// The upstream that is best for the request, also one that is worth waiting
  /// for; null if none may receive requests.
  [[nodiscard]] const upstream_load *
  preferredUpstream(const queued_request &Request, instant Now) const;
  /// True if a model engine is at a prompt for much longer than prompts usually
  /// take. Waiting for it is of no use.
  [[nodiscard]] bool isStalled(const upstream_load &Load,
                               instant Now) const noexcept;
  /// The upstream with the lowest penalty among those for which `Accepts` is
  /// true; null if there is none.
  template <class Predicate>
  [[nodiscard]] const upstream_load *
  findLowestPenalty(const queued_request &Request, instant Now,
                    Predicate Accepts) const;
  /// The upstream to send the request to now, if it has capacity: the preferred
  /// one or, while that is stalled, the best of the others.
  [[nodiscard]] std::optional<upstream_id>
  selectUpstream(const queued_request &Request, instant Now) const;
  /// The best upstream that has capacity now.
  [[nodiscard]] std::optional<upstream_id>
  selectFreeUpstream(const queued_request &Request, instant Now) const;
  /// True if the team has received so much less than another one that its
  /// requests no longer wait for their preferred upstreams.
  [[nodiscard]] bool isFarBehind(team_id Team, instant Now) const;
  /// Lower is better.
  [[nodiscard]] double selectionPenalty(const queued_request &Request,
                                        const upstream_load &Load,
                                        const cache_estimate &Caches,
                                        instant Now) const;
  [[nodiscard]] cache_estimate
  estimateCaches(const queued_request &Request) const;
  /// Engine that every scheduler selects first for a shared prefix, by
  /// rendezvous hashing: a new owner of the cell, and a router that decides
  /// without the owner, find the prefix where earlier ones have sent it. 0 if
  /// an engine is known to have it, or if nothing is shared.
  [[nodiscard]] upstream_id homeEngine(const queued_request &Request) const;
  /// Time until the response, or until the first byte of a stream; nothing if
  /// it is not known yet.
  [[nodiscard]] std::optional<duration>
  expectedResponseTime(const queued_request &Request) const;
  void send(const queued_request &Request, upstream_id Upstream, instant Now);
  void recordResponseTime(const in_flight_request &Request,
                          const upstream_load &Load, upstream_result Result,
                          instant Now);
  void recordBusyShare(instant Now);
  void recordServedCost(team_id Team, double Cost, instant Now);
  void clearPendingPrefill(in_flight_request &Request);
  [[nodiscard]] duration coldInterval(const upstream_load &Load) const;
  [[nodiscard]] std::optional<dispatch_decision> dispatchNext(instant Now);
  [[nodiscard]] std::optional<dispatch_decision>
  findDispatchable(team_id Team, instant Now) const;

  std::uint64_t Seed;
  std::uint32_t SchedulerCount = 1;
  std::map<upstream_id, upstream_load> Upstreams;
  std::unordered_map<std::uint64_t, in_flight_request> InFlightById;
  std::map<team_id, std::deque<queued_request>> Queues;
  std::unordered_map<std::uint64_t, std::pair<team_id, instant>> WaitingById;
  std::set<std::pair<instant, std::uint64_t>> DispatchDeadlines;
  std::map<team_id, double> QueuedCost;
  /// Cost dispatched per second, in total and per team.
  decayed_rate TotalServedRate;
  std::map<team_id, decayed_rate> TeamServedRates;
  double BusyShare = 0;
  /// Time since which at least one request has been waiting.
  instant BackloggedSince{};
  /// Response time of plain upstreams. That of a model engine depends on the
  /// prompt, so it is not estimated.
  response_time_estimator PlainResponseTime;
  /// Time from sending a prompt to the first byte of its response.
  response_time_estimator FirstByteTime;
  prefill_time_estimator PrefillTime;
  pool::fair_scheduler FairQueue;
};

} // namespace arbutus::balance

namespace arbutus {

template <> struct name_table<balance::upstream_result> {
  using result_value = balance::upstream_result;
  static constexpr name_row<result_value> Rows[] = {
      {result_value::Succeeded, "good"},
      {result_value::Failed, "failed"},
      {result_value::Overloaded, "refused"},
      {result_value::Unreachable, "unreachable"},
      {result_value::Ignored, "neutral"},
  };
};

} // namespace arbutus

#endif
