#ifndef ARBUTUS_ROUTER_ROUTED_REQUEST_H
#define ARBUTUS_ROUTER_ROUTED_REQUEST_H

#include "net/answer_buffer.h"
#include "net/http_exchange.h"
#include "pool/router_scheduler.h"
#include "router/retry_policy.h"
#include "router/router_context.h"
#include "router/stream_validator.h"
#include "store/config_view.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::router {

enum class request_phase { Admitted, Claiming, Waiting, Calling, Finished };

/// One attempt to serve a request at an upstream.
struct upstream_attempt {
  upstream_id Upstream{};
  std::string UpstreamName; ///< a copy, because the view may be replaced
  net::call_id CallId{};
  instant SentAt;
  std::optional<duration> FirstTokenTime;
  int Status = 0;
  bool RejectedBeforeExecution = false;
  bool Oversized = false;
  net::http_headers Headers;
  net::answer_buffer Body; ///< of a response that is not streamed
};

/// A caller's request from admission to its response. It is used only on the
/// thread of its shard.
struct routed_request {
  routed_request(router_context &Context, shard &Shard,
                 std::shared_ptr<net::http_exchange> Exchange)
      : Context(Context), Shard(Shard), Exchange(std::move(Exchange)) {
    Context.ActiveRequests.fetch_add(1, std::memory_order_relaxed);
  }
  routed_request(const routed_request &) = delete;
  routed_request &operator=(const routed_request &) = delete;
  ~routed_request() {
    Context.ActiveRequests.fetch_sub(1, std::memory_order_relaxed);
  }

  router_context &Context;
  shard &Shard;
  std::shared_ptr<net::http_exchange> Exchange;

  std::shared_ptr<const store::config_view> View;
  const store::team_entry *Team = nullptr;
  const store::service_entry *Service = nullptr;

  std::uint64_t Id = 0;          ///< unique in this process
  std::string UpstreamRequestId; ///< unique in the fleet, sent to upstreams
  /// The caller's own id, or `UpstreamRequestId` if it gave none.
  std::string CallerRequestId;

  std::string Method;
  std::string Target; ///< path and query sent to the upstream
  std::string Body;
  net::http_headers Headers;
  bool IsModelRequest = false;
  bool IsStreaming = false;
  bool Idempotent = false;
  instant Arrived;
  instant Deadline;
  double EstimatedCost = 1;
  std::optional<upstream_id> Preferred;

  std::optional<store::claim_command> Claim;
  bool ClaimHeld = false;

  request_phase Phase = request_phase::Admitted;
  int Attempts = 0;
  /// An attempt ended without proof that the request was not executed.
  bool MayHaveExecuted = false;
  std::vector<upstream_id> Excluded;
  upstream_attempt Attempt;
  std::optional<stream_validator> Validator;
  bool CallerDisconnected = false;
};

using request_ptr = std::shared_ptr<routed_request>;

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::request_phase> {
  using phase = router::request_phase;
  static constexpr name_row<phase> Rows[] = {
      {phase::Admitted, "admitted"}, {phase::Claiming, "claiming"},
      {phase::Waiting, "waiting"},   {phase::Calling, "calling"},
      {phase::Finished, "finished"},
  };
};

} // namespace arbutus

#endif
