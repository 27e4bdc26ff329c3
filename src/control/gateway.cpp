#include "control/gateway.h"

#include "base/log.h"
#include "traffic/router_addresses.h"
#include "traffic/traffic_flow.h"
#include <asio/post.hpp>

namespace arbutus::control {

namespace {

/// Bodies of callers until there is a configuration, which sets the limit.
constexpr std::size_t DefaultBodyLimitBytes = std::size_t{64} << 20U;
/// Configurations are the largest bodies of operators.
constexpr std::size_t OperatorBodyLimitBytes = std::size_t{16} << 20U;
/// Health checks and address queries need no body.
constexpr std::size_t QueryBodyLimitBytes = std::size_t{64} << 10U;
/// Above this size the connection is closed.
constexpr std::size_t HardHeaderFieldLimitBytes = std::size_t{64} << 10U;

/// Idle connections are closed once connections of callers hold a quarter of
/// the descriptors.
constexpr std::size_t DescriptorsPerConnection = 4;

/// Requests are shed above this event loop lag. A request passes the event loop
/// about ten times before its response begins, so that a longer lag alone would
/// use up a latency objective of 300 ms.
constexpr duration MaxEventLoopLag = 30ms;
constexpr duration NoLagLimit = duration::zero();

/// Share of the retry slack that is used. The rest covers routers that
/// disagree about the number of routers.
constexpr double UsedRetrySlackShare = 2.0 / 3;
constexpr double PercentPerOne = 100;

traffic::retry_limits retryLimits(const settings::gateway_settings &Gateway) {
  traffic::retry_limits Limits;
  Limits.MaxFleetBalance = UsedRetrySlackShare * Gateway.RetrySlack;
  return Limits;
}

std::size_t callerBodyLimit(const router::router_context &Context) {
  return Context.Routing.read([](const auto &State) {
    const auto *Config = State.View->traffic().config();
    return Config == nullptr || Config->Limits.BodyBytes == 0
               ? DefaultBodyLimitBytes
               : static_cast<std::size_t>(Config->Limits.BodyBytes);
  });
}

bool canServe(const router::router_context &Context) {
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
      Shard(Shard),
      Traffic(Context, Shard, Adapter.Codec, retryLimits(Settings.Gateway),
              std::move(Send), Settings.Gateway.HedgePercent / PercentPerOne) {
  const auto Constant = [](std::size_t Limit) {
    return [Limit] { return Limit; };
  };
  listen(
      Settings.Gateway.RequestListener, MaxEventLoopLag,
      [this] { return callerBodyLimit(this->Context); },
      [this](const exchange_ptr &Exchange) {
        traffic::handleRequest(Traffic, Exchange);
      });
  listen(Settings.Gateway.HealthListener, NoLagLimit,
         Constant(QueryBodyLimitBytes),
         [this](const exchange_ptr &Exchange) { handleHealthCheck(Exchange); });
  listen(Settings.Gateway.AddressListener, NoLagLimit,
         Constant(QueryBodyLimitBytes), [this](const exchange_ptr &Exchange) {
           handleAddressQuery(Exchange);
         });
  listen(
      Settings.Gateway.OperatorListener, NoLagLimit,
      Constant(OperatorBodyLimitBytes),
      [this](const exchange_ptr &Exchange) { handleAdminRequest(Exchange); });
}

void gateway::listen(const settings::endpoint &Endpoint,
                     duration ShedLagThreshold,
                     std::function<std::size_t()> MaxBodyBytes,
                     net::http_handler Handler) {
  if (Endpoint.empty()) {
    return;
  }
  net::http_server_options Options;
  Options.Address = Endpoint.Ip;
  Options.Port = Endpoint.Port;
  Options.MaxBodyBytes = std::move(MaxBodyBytes);
  Options.HardHeaderFieldLimit = HardHeaderFieldLimitBytes;
  Options.KeepAliveConnectionLimit =
      Settings.Limits.MaxOpenFiles / DescriptorsPerConnection;
  Options.ShedLagThreshold = ShedLagThreshold;
  Servers.push_back(std::make_unique<net::http_server>(
      Shard.Io, Options, Shard.Bodies, std::move(Handler)));
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

void gateway::handleHealthCheck(const exchange_ptr &Exchange) {
  Exchange->respond(
      Adapter.MakeHealthResponse(Exchange->request(), canServe(Context)));
}

void gateway::handleAddressQuery(const exchange_ptr &Exchange) {
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

void gateway::handleAdminRequest(const exchange_ptr &Exchange) {
  if (Exchange->request().BodyTooLong) {
    Exchange->respond({413, {}, {}});
    return;
  }
  auto Parsed = Adapter.ParseAdminRequest(Exchange->request());
  if (auto *Response = std::get_if<net::http_response>(&Parsed)) {
    logEvent(log_level::Info, "order_rejected",
             {{"method", Exchange->request().Method},
              {"target", Exchange->request().Target},
              {"status", Response->Status},
              {"body_bytes", Exchange->request().Body.size()}});
    Exchange->respond(std::move(*Response));
    return;
  }
  const instant ReadAt = monotonic_clock::now();
  auto AdminRequest = std::get<router::admin_request>(std::move(Parsed));
  AdminRequest.ReceivedAt = Shard.Stalls.earliestArrival(ReadAt);
  const duration Waited = ReadAt - AdminRequest.ReceivedAt;
  Hooks.ForwardToLeader(
      std::move(AdminRequest), Shard,
      [this, Exchange, ReadAt, Waited](const router::admin_response &Response) {
        logEvent(log_level::Info, "order_answered",
                 {{"method", Exchange->request().Method},
                  {"target", Exchange->request().Target},
                  {"status", Response.Status},
                  {"stalled_us", toMicros(Waited)},
                  {"duration_us", toMicros(monotonic_clock::now() - ReadAt)}});
        Exchange->respond(
            Adapter.MakeAdminResponse(Exchange->request(), Response));
      });
}

} // namespace arbutus::control
