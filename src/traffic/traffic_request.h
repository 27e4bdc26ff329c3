#ifndef ARBUTUS_TRAFFIC_TRAFFIC_REQUEST_H
#define ARBUTUS_TRAFFIC_TRAFFIC_REQUEST_H

#include "net/answer_buffer.h"
#include "net/http_exchange.h"
#include "router/request_error.h"
#include "router/routed_request.h"
#include "traffic/caller_request.h"
#include "traffic/event_splitter.h"
#include "traffic/platform_codec.h"
#include "traffic/traffic_shard.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::traffic {

/// One attempt of a request at an upstream instance.
struct upstream_attempt {
  upstream_id Upstream{};
  std::string Instance; ///< copied, because the view may be replaced
  /// Start time of the instance, see `store::instance`.
  std::uint64_t InstanceStartedMs = 0;
  std::string Version; ///< of the instance's software
  net::call_id Call{};
  instant SentAt;
  /// View in force when the slot was granted.
  std::shared_ptr<const store::config_view> View;
  int Status = 0;
  net::http_headers Headers;
  upstream_response_info ResponseInfo;
  bool IsEventStream = false; ///< by its content type
  net::answer_buffer Body;    ///< of responses that are not streamed
  bool FirstByte = false;
  /// A whole event of a stream has arrived.
  bool FirstEvent = false;
  bool Oversized = false;
  bool Unreadable = false; ///< bytes arrived that are no answer
  /// It was not sent, because its upstream became unusable meanwhile.
  bool Withheld = false;
};

/// A request that is routed by host and path, from admission to its response.
/// It belongs to one shard and is only used on that shard's thread.
struct traffic_request {
  traffic_request(traffic_shard &Shard,
                  std::shared_ptr<net::http_exchange> Exchange)
      : Shard(Shard), Exchange(std::move(Exchange)) {
    Shard.Context.ActiveRequests.fetch_add(1, std::memory_order_relaxed);
  }
  traffic_request(const traffic_request &) = delete;
  traffic_request &operator=(const traffic_request &) = delete;
  ~traffic_request() {
    Shard.Context.ActiveRequests.fetch_sub(1, std::memory_order_relaxed);
  }

  traffic_shard &Shard;
  std::shared_ptr<net::http_exchange> Exchange;
  caller_request Caller;

  /// Keeps `Route` and `Team` valid while the request is active.
  std::shared_ptr<const store::config_view> View;
  const store::traffic_route *Route = nullptr;
  const store::traffic_team *Team = nullptr;
  std::string Service;
  /// Pool of the service's instances that the request chooses from, see
  /// `store::service_pools`.
  std::string Pool;
  /// The pool is that of a version under test, which the request leaves if it
  /// gets no slot there at once.
  bool InCanary = false;

  std::uint64_t Id = 0; ///< unique in this process
  std::string Method;
  std::string Target; ///< path and query
  /// Shared with the calls to upstreams, so that it is kept once.
  std::shared_ptr<const std::string> Body;
  instant Arrived;
  instant Deadline;
  /// Latest time to send it; a later response would be of no use.
  instant DispatchDeadline;
  /// Time by which the caller wants the response; the maximum value means that
  /// there is no target.
  instant ResponseTarget = instant::max();
  double Cost = 1;
  std::vector<balance::prompt_block> Prompt;
  /// Segments of the prompt that other requests may share.
  std::vector<router::segment_hash> SharedSegments;

  router::request_phase Phase = router::request_phase::Admitted;
  std::uint32_t Attempts = 0;
  /// An attempt ended without proof that it was not executed.
  bool MayHaveExecuted = false;
  bool CallerDisconnected = false;
  /// Time after which a refused caller may retry; 0 if unknown.
  duration RetryAfter{};
  /// Why the request got no slot; empty if it was not refused one.
  std::string_view RefusalReason;
  /// Name of the busy upstream that it was queued for until it was refused.
  std::string QueuedFor;
  std::vector<upstream_id> Excluded;
  upstream_attempt Attempt;
  /// Events of the stream that were forwarded, over all attempts.
  event_splitter Events;

  [[nodiscard]] bool isRetryable() const noexcept {
    return Route->Kind == store::request_kind::Idempotent ||
           (Route->Kind == store::request_kind::Stream && Route->Resumable);
  }
  [[nodiscard]] bool isStream() const noexcept {
    return Route->Kind == store::request_kind::Stream;
  }
  [[nodiscard]] std::string_view teamName() const noexcept {
    return Team == nullptr ? std::string_view() : std::string_view(Team->Name);
  }
};

/// The run of the upstream of an attempt. Valid as long as the attempt.
[[nodiscard]] inline upstream_run
upstreamRunOf(const upstream_attempt &Attempt) noexcept {
  return {Attempt.Instance, Attempt.InstanceStartedMs};
}

using traffic_request_ptr = std::shared_ptr<traffic_request>;

} // namespace arbutus::traffic

#endif
