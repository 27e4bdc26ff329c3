#include "router/http_dispatch.h"

#include "base/digest.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "router/address_response.h"
#include "router/admission.h"
#include "router/request_flow.h"
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace arbutus::router {

namespace {

using exchange_ptr = std::shared_ptr<net::http_exchange>;

/// Time after which a watch request without a change gets an empty response.
constexpr duration LongPollTimeout = 20s;
constexpr auto LongPollInterval = std::chrono::milliseconds(300);

net::http_response makeJsonResponse(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

void handleServiceRequest(router_context &Context, shard &Shard,
                          const exchange_ptr &Exchange) {
  const auto Admitted = admitRequest(Context, Shard, Exchange);
  if (Admitted.has_value()) {
    startRequest(Admitted.value());
    return;
  }
  Context.Metrics.countError(Admitted.error());
  const std::string Id = callerRequestId(Exchange->request(), "-");
  logEvent(log_level::Info, "request_refused",
           {{"request", Id}, {"error", nameOf(Admitted.error())}});
  auto Response =
      makeErrorResponse(Admitted.error(), execution_outcome::NotRun, Id);
  Response.Headers.emplace_back("X-Arbutus-Node", Context.NodeName);
  Exchange->respond(std::move(Response));
}

void handleAddresses(router_context &Context, shard &Shard,
                     const exchange_ptr &Exchange) {
  const auto Routing = Context.Routing.read([](const auto &S) { return S; });
  const auto &Request = Exchange->request();
  const std::string Region = net::queryValue(Request.Target, "region");
  // The API key is enough for the hash; its team need not be known here.
  const caller_info Caller{net::headerOf(Request.Headers, "Authorization"),
                           Request.RemoteAddress, Region};
  Exchange->respond(makeJsonResponse(
      200, makeAddressResponseBody(*Routing.Nodes, Shard.Addresses, Caller,
                                   Routing.View->policyValues().AddressTtlMs)));
}

void handleHealth(router_context &Context, const exchange_ptr &Exchange) {
  const bool Serving = holdsLease(Context, monotonic_clock::now()) &&
                       Context.Drain.load() == drain_phase::Serving;
  Exchange->respond(makeJsonResponse(
      Serving ? 200 : 503, fmt::format(R"({{"node":"{}","serving":{}}})",
                                       Context.NodeName, Serving)));
}

void handleMetrics(router_context &Context, const http_dispatch_hooks &Hooks,
                   const exchange_ptr &Exchange) {
  Hooks.UpdateGauges(Context.Metrics);
  Exchange->respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     Context.Metrics.text()});
}

bool hasOperatorKey(const http_dispatch_hooks &Hooks,
                    const net::http_request &Request) {
  static constexpr std::string_view Scheme = "Bearer ";
  const std::string_view Value =
      net::headerOf(Request.Headers, "Authorization");
  if (Value.substr(0, Scheme.size()) != Scheme) {
    return false;
  }
  const std::string Hash = sha256Hex(Value.substr(Scheme.size()));
  return std::any_of(
      Hooks.OperatorKeyHashes.begin(), Hooks.OperatorKeyHashes.end(),
      [&](const auto &Known) { return equalConstantTime(Known, Hash); });
}

/// Returns a unique request id for a write that came without one. The leader
/// uses it to recognize the write when a node resends it.
std::string newRequestId() {
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  return fmt::format("auto-{:016x}{:016x}", Random(), Random());
}

void respondToOperator(const exchange_ptr &Exchange, bool IsRead,
                       const admin_response &LeaderResponse) {
  if (LeaderResponse.Status != 0) {
    Exchange->respond(
        makeJsonResponse(LeaderResponse.Status, LeaderResponse.Body));
    return;
  }
  nlohmann::ordered_json Body;
  Body["error"]["type"] = "no_leader";
  Body["error"]["message"] = "no control leader answered; a write may have "
                             "been accepted: send it again under the same "
                             "X-Request-Id";
  Body["outcome"] = IsRead ? "not_run" : "unknown";
  auto Response = makeJsonResponse(503, Body.dump());
  Response.Headers.emplace_back("Retry-After", "1");
  Exchange->respond(std::move(Response));
}

/// Polls the leader until it reports changes or an error, or `Until` has
/// passed.
void longPollChanges(const http_dispatch_hooks &Hooks, shard &Shard,
                     const exchange_ptr &Exchange, admin_request AdminRequest,
                     instant Until) {
  AdminRequest.ReceivedAt = monotonic_clock::now();
  Hooks.ForwardToLeader(
      AdminRequest, Shard,
      [&Hooks, &Shard, Exchange, AdminRequest,
       Until](const admin_response &LeaderResponse) {
        if (LeaderResponse.Status != 200 || !LeaderResponse.Body.empty() ||
            monotonic_clock::now() >= Until) {
          respondToOperator(Exchange, true, LeaderResponse);
          return;
        }
        const auto Timer = std::make_shared<asio::steady_timer>(Shard.Io);
        Timer->expires_after(LongPollInterval);
        Timer->async_wait([&Hooks, &Shard, Exchange, AdminRequest, Until,
                           Timer](const asio::error_code &Error) {
          if (!Error) {
            longPollChanges(Hooks, Shard, Exchange, AdminRequest, Until);
          }
        });
      });
}

void handleAdminRequest(const http_dispatch_hooks &Hooks, shard &Shard,
                        const exchange_ptr &Exchange) {
  const auto &Request = Exchange->request();
  if (!hasOperatorKey(Hooks, Request)) {
    Exchange->respond(makeJsonResponse(
        401, R"({"error":{"type":"invalid_operator_key","message":)"
             R"("an operator key is needed"}})"));
    return;
  }
  admin_request AdminRequest;
  AdminRequest.Method = Request.Method;
  AdminRequest.Target = Request.Target;
  AdminRequest.RequestId =
      std::string(net::headerOf(Request.Headers, "X-Request-Id"));
  if (AdminRequest.RequestId.empty()) {
    AdminRequest.RequestId = newRequestId();
  }
  AdminRequest.Body = Exchange->takeBody();
  AdminRequest.ReceivedAt =
      Shard.Stalls.earliestArrival(monotonic_clock::now());
  const bool IsRead = AdminRequest.Method == "GET";
  if (IsRead && net::pathOf(AdminRequest.Target) == "/api/v1/watch") {
    longPollChanges(Hooks, Shard, Exchange, AdminRequest,
                    monotonic_clock::now() + LongPollTimeout);
    return;
  }
  Hooks.ForwardToLeader(
      std::move(AdminRequest), Shard,
      [Exchange, IsRead](const admin_response &LeaderResponse) {
        respondToOperator(Exchange, IsRead, LeaderResponse);
      });
}

void handleBlockPeers(const http_dispatch_hooks &Hooks,
                      const exchange_ptr &Exchange) {
  std::set<node_id> Peers;
  const auto Json = parseJson(Exchange->request().Body);
  if (Json.is_object() && Json.contains("peers")) {
    for (const auto &Peer : Json["peers"]) {
      if (Peer.is_number_unsigned()) {
        Peers.insert(node_id{Peer.get<std::uint32_t>()});
      }
    }
  }
  const bool Blocked = Hooks.SetBlockedPeers && Hooks.SetBlockedPeers(Peers);
  Exchange->respond(makeJsonResponse(
      Blocked ? 200 : 404,
      Blocked ? R"({"done":true})" : R"({"error":{"type":"not_allowed"}})"));
}

} // namespace

void dispatchHttpRequest(router_context &Context,
                         const http_dispatch_hooks &Hooks, shard &Shard,
                         const exchange_ptr &Exchange) {
  const std::string_view Path = net::pathOf(Exchange->request().Target);
  if (Exchange->request().BodyTooLong) {
    Exchange->respond(makeErrorResponse(
        request_error::BodyTooLarge, execution_outcome::NotRun,
        callerRequestId(Exchange->request(), "-")));
  } else if (isProxiedPath(Path)) {
    handleServiceRequest(Context, Shard, Exchange);
  } else if (Path == "/v1/addresses") {
    handleAddresses(Context, Shard, Exchange);
  } else if (Path == "/healthz") {
    handleHealth(Context, Exchange);
  } else if (Path == "/metrics") {
    handleMetrics(Context, Hooks, Exchange);
  } else if (Path.substr(0, 8) == "/api/v1/") {
    handleAdminRequest(Hooks, Shard, Exchange);
  } else if (Path == "/debug/cut") {
    handleBlockPeers(Hooks, Exchange);
  } else {
    Exchange->respond(makeErrorResponse(
        request_error::UnknownRoute, execution_outcome::NotRun,
        callerRequestId(Exchange->request(), "-")));
  }
}

} // namespace arbutus::router
