#include "control/gateway.h"

#include "base/log.h"
#include "traffic/router_addresses.h"
#include "traffic/traffic_flow.h"
#include <asio/post.hpp>

namespace arbutus::control {

namespace {

/// Limits of what is read at all. Smaller limits are part of the fleet's
/// configuration.
constexpr std::size_t HardBodyBytes = std::size_t{64} << 20U;
constexpr std::size_t HardHeaderBytes = std::size_t{64} << 10U;

/// A quarter of the descriptors may be held by callers' connections before
/// idle ones are given up.
constexpr std::size_t DescriptorsPerConnection = 4;

/// A request passes the event loop some ten times before its answer begins, so
/// that a later loop would use up an objective of 300 ms alone.
constexpr duration LongestLag = 30ms;
constexpr duration NoLimit = duration::zero();

/// Part of the retry slack that is used. The rest covers routers that do not
/// agree on how many they are.
constexpr double UsedRetrySlack = 2.0 / 3;

traffic::retry_limits retryLimits(const settings::gateway_settings &Gateway) {
  traffic::retry_limits Limits;
  Limits.MaxFleetBalance = UsedRetrySlack * Gateway.RetrySlack;
  return Limits;
}

/// True when this router can serve callers.
bool isReady(const router::router_context &Context) {
  const bool Configured = Context.Routing.read([](const auto &State) {
    return State.View->traffic().config() != nullptr;
  });
  return Configured && router::holdsLease(Context, monotonic_clock::now()) &&
         Context.Drain.load() == router::drain_phase::Serving;
}

} // namespace

gateway::gateway(const settings::settings &Settings,
                 const traffic::platform_adapter &Adapter,
                 router::router_context &Context,
                 const router::http_dispatch_hooks &Hooks, router::shard &Shard,
                 traffic::slot_allocator::send_function Send)
    : Settings(Settings), Adapter(Adapter), Context(Context), Hooks(Hooks),
      Shard(Shard), Traffic(Context, Shard, Adapter.Codec,
                            retryLimits(Settings.Gateway), std::move(Send)) {
  listen(Settings.Gateway.RequestListener, LongestLag,
         [this](const exchange_ptr &Exchange) {
           traffic::handleRequest(Traffic, Exchange);
         });
  listen(Settings.Gateway.HealthListener, NoLimit,
         [this](const exchange_ptr &Exchange) { answerHealth(Exchange); });
  listen(Settings.Gateway.AddressListener, NoLimit,
         [this](const exchange_ptr &Exchange) { answerAddresses(Exchange); });
  listen(Settings.Gateway.OperatorListener, NoLimit,
         [this](const exchange_ptr &Exchange) { takeOrder(Exchange); });
}

void gateway::listen(const settings::endpoint &At, duration ShedAbove,
                     net::http_handler Handler) {
  if (At.empty()) {
    return;
  }
  net::http_server_options Options;
  Options.Address = At.Ip;
  Options.Port = At.Port;
  Options.HardBodyLimit = HardBodyBytes;
  Options.HardHeaderFieldLimit = HardHeaderBytes;
  Options.KeepAliveConnectionLimit =
      Settings.Limits.MaxOpenFiles / DescriptorsPerConnection;
  Options.ShedLagThreshold = ShedAbove;
  Servers.push_back(std::make_unique<net::http_server>(Shard.Io, Options,
                                                       std::move(Handler)));
}

void gateway::postMessage(node_id From, net::message_kind Kind,
                          std::string Payload) {
  asio::post(Shard.Io, [this, From, Kind, Payload = std::move(Payload)] {
    Traffic.Slots.onMessage(From, Kind, Payload);
  });
}

void gateway::stopAccepting() {
  if (!Servers.empty()) {
    Servers.front()->stopAccepting();
  }
}

void gateway::abortAll() { traffic::abortRequests(Traffic); }

void gateway::answerHealth(const exchange_ptr &Exchange) {
  Exchange->respond(
      Adapter.MakeHealthResponse(Exchange->request(), isReady(Context)));
}

void gateway::answerAddresses(const exchange_ptr &Exchange) {
  const auto Query = Adapter.ParseAddressQuery(Exchange->request());
  if (!Query) {
    Exchange->respond({404, {}, {}});
    return;
  }
  const auto Nodes =
      Context.Routing.read([](const auto &State) { return State.Nodes; });
  Exchange->respond(Adapter.MakeAddressResponse(
      traffic::selectRouterAddresses(*Nodes, *Query),
      Settings.Gateway.AddressTtl));
}

void gateway::takeOrder(const exchange_ptr &Exchange) {
  auto Plan = Adapter.ParseAdminRequest(Exchange->request());
  if (auto *Answer = std::get_if<net::http_response>(&Plan)) {
    Exchange->respond(std::move(*Answer));
    return;
  }
  const instant Arrived = monotonic_clock::now();
  Hooks.ForwardToLeader(
      std::get<router::admin_request>(std::move(Plan)), Shard,
      [this, Exchange, Arrived](const router::admin_response &Answer) {
        logEvent(log_level::Info, "order_answered",
                 {{"method", Exchange->request().Method},
                  {"target", Exchange->request().Target},
                  {"status", Answer.Status},
                  {"duration_us", toMicros(monotonic_clock::now() - Arrived)}});
        Exchange->respond(
            Adapter.MakeAdminResponse(Exchange->request(), Answer));
      });
}

} // namespace arbutus::control
