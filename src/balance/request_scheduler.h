#ifndef ARBUTUS_BALANCE_REQUEST_SCHEDULER_H
#define ARBUTUS_BALANCE_REQUEST_SCHEDULER_H

#include "balance/answer_time.h"
#include "balance/decayed_rate.h"
#include "balance/queued_request.h"
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

/// Tells the caller to send a request to an upstream now.
struct dispatch_decision {
  std::uint64_t RequestId = 0;
  upstream_id Upstream{};
};

/// What an ended call says about its upstream.
enum class upstream_result {
  Succeeded,
  Failed,      ///< answered with an error of its own, or broke off
  Overloaded,  ///< had no room
  Unreachable, ///< no connection
  Ignored,     ///< says nothing, for example a caller that left
};

/// Upstreams that are interchangeable: chooses one for each request by load
/// and by what it keeps of the prompt, and queues requests per team while the
/// best one is full. Not thread-safe; every time is an argument.
class request_scheduler {
public:
  /// `Seed` spreads the first requests to cold upstreams over the routers.
  explicit request_scheduler(std::uint64_t Seed) noexcept;

  void setUpstreams(const std::vector<upstream_info> &List, instant Now);
  /// Number of pools that send to the same upstreams without knowing of each
  /// other; 1 when this one sees all requests.
  void setSchedulerCount(std::uint32_t Count) noexcept;

  /// Time for which a request of this team would wait now behind those of its
  /// own, at the rate at which the team was served lately, or at an even share
  /// of the pool's if that is more. 0 while that is not known.
  [[nodiscard]] duration expectedWait(team_id Team, instant Now) const;
  /// False if the request would wait beyond its limit; it is better refused at
  /// once.
  [[nodiscard]] bool canServeInTime(const queued_request &Request,
                                    instant Now) const {
    return Now + expectedWait(Request.Team, Now) <=
           dispatchDeadline(Request, Now);
  }
  /// Latest instant at which a request is sent: its own limit, or earlier so
  /// that a plain call is answered when its caller wants it.
  [[nodiscard]] instant dispatchDeadline(const queued_request &Request,
                                         instant Now) const noexcept;
  /// Sends a request now or queues it.
  [[nodiscard]] std::optional<upstream_id> enqueue(queued_request Request,
                                                   instant Now);
  /// Removes a waiting request; false if it does not wait.
  bool cancel(std::uint64_t RequestId);
  /// Notes the first byte of an answer: the prompt has been read.
  void onFirstByte(std::uint64_t RequestId);
  /// Ends a request that was sent.
  void complete(std::uint64_t RequestId, upstream_result Health, instant Now);
  /// Takes an upstream's report of its load.
  void onLoadReport(upstream_id Upstream, const load_report &Load);

  /// Counts a request that another pool has sent.
  void restoreInFlight(std::uint64_t RequestId, upstream_id Upstream);

  /// Waiting requests that can be sent now, in fair order.
  [[nodiscard]] std::vector<dispatch_decision> dispatchReady(instant Now);
  /// Removes and returns waiting requests that should have been sent by now.
  [[nodiscard]] std::vector<std::uint64_t> expireWaiting(instant Now);

  [[nodiscard]] std::size_t waiting() const noexcept { return Waiting.size(); }
  [[nodiscard]] bool anyUsable() const noexcept;
  [[nodiscard]] const upstream_load *find(upstream_id Upstream) const;

private:
  struct running_request {
    upstream_id Upstream{};
    std::uint64_t PrefillTokens = 0;
    instant SentAt{};
  };

  [[nodiscard]] std::optional<upstream_id> choose(const queued_request &Request,
                                                  instant Now) const;
  [[nodiscard]] double scoreOf(const queued_request &Request,
                               const upstream_load &Load,
                               std::uint64_t FewestMissing, instant Now) const;
  [[nodiscard]] std::uint64_t
  fewestMissing(const queued_request &Request) const;
  void send(const queued_request &Request, upstream_id Upstream, instant Now);
  void noteAnswer(const running_request &Request, const upstream_load &Load,
                  upstream_result Health, instant Now);
  void noteServed(team_id Team, double Cost, instant Now);
  void endPrefill(running_request &Running);
  [[nodiscard]] duration coldInterval(const upstream_load &Load) const;
  [[nodiscard]] std::optional<dispatch_decision> takeNext(instant Now);
  [[nodiscard]] std::optional<dispatch_decision>
  findReady(const std::deque<queued_request> &Queue, instant Now) const;

  std::uint64_t Seed;
  std::uint32_t Sharers = 1;
  std::map<upstream_id, upstream_load> Upstreams;
  std::unordered_map<std::uint64_t, running_request> Running;
  std::map<team_id, std::deque<queued_request>> Queues;
  std::unordered_map<std::uint64_t, std::pair<team_id, instant>> Waiting;
  std::set<std::pair<instant, std::uint64_t>> SendBy;
  std::map<team_id, double> QueuedCost;
  /// Cost served a second, of all teams and of each.
  decayed_rate Served;
  std::map<team_id, decayed_rate> ServedOf;
  /// Since when requests wait without a break.
  instant BackloggedSince{};
  /// Of plain calls; an engine's answers depend on the prompt.
  answer_time PlainAnswers;
  pool::fair_scheduler Order;
};

} // namespace arbutus::balance

namespace arbutus {

template <> struct name_table<balance::upstream_result> {
  using health = balance::upstream_result;
  static constexpr name_row<health> Rows[] = {
      {health::Succeeded, "good"},     {health::Failed, "failed"},
      {health::Overloaded, "refused"}, {health::Unreachable, "unreachable"},
      {health::Ignored, "neutral"},
  };
};

} // namespace arbutus

#endif
