#include "router/http_dispatch.h"

#include "base/digest.h"
#include "base/log.h"
#include "router/address_answer.h"
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

/// Longest time that a watch waits for a change.
constexpr duration WatchWait = 20s;
constexpr auto WatchInterval = std::chrono::milliseconds(300);

net::http_response jsonAnswer(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

void handleServiceCall(router_context &Context, shard &Shard,
                       const exchange_ptr &Exchange) {
  const auto Admitted = admitRequest(Context, Shard, Exchange);
  if (Admitted.has_value()) {
    startRequest(Admitted.value());
    return;
  }
  Context.Metrics.countError(Admitted.error());
  const std::string Id = publicIdOf(Exchange->request(), "-");
  logEvent(log_level::Info, "request_refused",
           {{"request", Id}, {"error", nameOf(Admitted.error())}});
  auto Answer =
      makeErrorResponse(Admitted.error(), execution_outcome::NotRun, Id);
  Answer.Headers.emplace_back("X-Arbutus-Node", Context.NodeName);
  Exchange->respond(std::move(Answer));
}

void handleAddresses(router_context &Context, shard &Shard,
                     const exchange_ptr &Exchange) {
  const auto State = Context.Routing.read([](const auto &S) { return S; });
  const auto &Request = Exchange->request();
  const std::string Region = net::queryValue(Request.Target, "region");
  // The key stands for the team, which need not be known here.
  const caller_hints Caller{net::headerOf(Request.Headers, "Authorization"),
                            Request.RemoteAddress, Region};
  Exchange->respond(
      jsonAnswer(200, addressAnswer(*State.Nodes, Shard.Addresses, Caller,
                                    State.View->policyValues().AddressTtlMs)));
}

void handleHealth(router_context &Context, const exchange_ptr &Exchange) {
  const bool Serving = holdsLease(Context, monotonic_clock::now()) &&
                       Context.Drain.load() == drain_phase::Serving;
  Exchange->respond(jsonAnswer(Serving ? 200 : 503,
                               fmt::format(R"({{"node":"{}","serving":{}}})",
                                           Context.NodeName, Serving)));
}

void handleMetrics(router_context &Context, const http_dispatch_hooks &Hooks,
                   const exchange_ptr &Exchange) {
  Hooks.UpdateGauges(Context.Metrics);
  Exchange->respond({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     Context.Metrics.text()});
}

bool isOperator(const http_dispatch_hooks &Hooks,
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

/// Identifier for writes whose operator gave none; unique, so that only the
/// resends inside the fleet are recognized.
std::string newRequestId() {
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  return fmt::format("auto-{:016x}{:016x}", Random(), Random());
}

void answerOperator(const exchange_ptr &Exchange, bool Read,
                    const admin_response &Answer) {
  if (Answer.Status != 0) {
    Exchange->respond(jsonAnswer(Answer.Status, Answer.Body));
    return;
  }
  nlohmann::ordered_json Body;
  Body["error"]["type"] = "no_leader";
  Body["error"]["message"] = "no control leader answered; a write may have "
                             "been accepted: send it again under the same "
                             "X-Request-Id";
  Body["outcome"] = Read ? "not_run" : "unknown";
  auto Response = jsonAnswer(503, Body.dump());
  Response.Headers.emplace_back("Retry-After", "1");
  Exchange->respond(std::move(Response));
}

/// Asks for changes until there are some or the time is over.
void pollWatch(const http_dispatch_hooks &Hooks, shard &Shard,
               const exchange_ptr &Exchange, const admin_request &Call,
               instant Until) {
  Hooks.ForwardToLeader(
      Call, Shard,
      [&Hooks, &Shard, Exchange, Call, Until](const admin_response &Answer) {
        if (Answer.Status != 200 || !Answer.Body.empty() ||
            monotonic_clock::now() >= Until) {
          answerOperator(Exchange, true, Answer);
          return;
        }
        const auto Timer = std::make_shared<asio::steady_timer>(Shard.Io);
        Timer->expires_after(WatchInterval);
        Timer->async_wait([&Hooks, &Shard, Exchange, Call, Until,
                           Timer](const asio::error_code &Error) {
          if (!Error) {
            pollWatch(Hooks, Shard, Exchange, Call, Until);
          }
        });
      });
}

void handleApi(const http_dispatch_hooks &Hooks, shard &Shard,
               const exchange_ptr &Exchange) {
  const auto &Request = Exchange->request();
  if (!isOperator(Hooks, Request)) {
    Exchange->respond(
        jsonAnswer(401, R"({"error":{"type":"invalid_operator_key","message":)"
                        R"("an operator key is needed"}})"));
    return;
  }
  admin_request Call;
  Call.Method = Request.Method;
  Call.Target = Request.Target;
  Call.RequestId = std::string(net::headerOf(Request.Headers, "X-Request-Id"));
  if (Call.RequestId.empty()) {
    Call.RequestId = newRequestId();
  }
  Call.Body = Exchange->takeBody();
  const bool Read = Call.Method == "GET";
  if (Read && net::pathOf(Call.Target) == "/api/v1/watch") {
    pollWatch(Hooks, Shard, Exchange, Call, monotonic_clock::now() + WatchWait);
    return;
  }
  Hooks.ForwardToLeader(std::move(Call), Shard,
                        [Exchange, Read](const admin_response &Answer) {
                          answerOperator(Exchange, Read, Answer);
                        });
}

void handleCut(const http_dispatch_hooks &Hooks, const exchange_ptr &Exchange) {
  std::set<node_id> Peers;
  const auto Json =
      nlohmann::json::parse(Exchange->request().Body, nullptr, false);
  if (Json.is_object() && Json.contains("peers")) {
    for (const auto &Peer : Json["peers"]) {
      if (Peer.is_number_unsigned()) {
        Peers.insert(node_id{Peer.get<std::uint32_t>()});
      }
    }
  }
  const bool Done = Hooks.SetBlockedPeers && Hooks.SetBlockedPeers(Peers);
  Exchange->respond(jsonAnswer(Done ? 200 : 404,
                               Done ? R"({"done":true})"
                                    : R"({"error":{"type":"not_allowed"}})"));
}

} // namespace

void dispatchHttpRequest(router_context &Context,
                         const http_dispatch_hooks &Hooks, shard &Shard,
                         const exchange_ptr &Exchange) {
  const std::string_view Path = net::pathOf(Exchange->request().Target);
  if (isServiceTarget(Path)) {
    handleServiceCall(Context, Shard, Exchange);
  } else if (Path == "/v1/addresses") {
    handleAddresses(Context, Shard, Exchange);
  } else if (Path == "/healthz") {
    handleHealth(Context, Exchange);
  } else if (Path == "/metrics") {
    handleMetrics(Context, Hooks, Exchange);
  } else if (Path.substr(0, 8) == "/api/v1/") {
    handleApi(Hooks, Shard, Exchange);
  } else if (Path == "/debug/cut") {
    handleCut(Hooks, Exchange);
  } else {
    Exchange->respond(makeErrorResponse(request_error::UnknownRoute,
                                        execution_outcome::NotRun,
                                        publicIdOf(Exchange->request(), "-")));
  }
}

} // namespace arbutus::router
