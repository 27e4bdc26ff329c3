#ifndef ARBUTUS_TESTS_PLATFORM_FLOW_FIXTURE_H
#define ARBUTUS_TESTS_PLATFORM_FLOW_FIXTURE_H

#include "base/digest.h"
#include "platform/platform.h"
#include "recorded_exchange.h"
#include "scripted_upstream.h"
#include "traffic/traffic_flow.h"
#include "traffic/traffic_request.h"
#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::platform::testing {

/// The only route of a fixture.
struct route_options {
  store::request_kind Kind = store::request_kind::Idempotent;
  bool Resumable = false;
  std::uint32_t MaxAttempts = 2;
  bool Public = true;
  /// Whether the configuration asks for keys; it has no team.
  bool RequiresKeys = false;
};

/// One router with one route to scripted upstreams. It owns their cell, so all
/// of a request's path runs on the event loop of the test.
class flow_fixture {
public:
  flow_fixture(const route_options &Options,
               std::vector<scripted_upstream::reply_function> Replies)
      : Shard(0), Context(
                      Self, "router", incarnation{1}, Shard.Io, [] {},
                      [](std::uint64_t, const std::string &) {}),
        Traffic(Context, Shard, platformAdapter().Codec, {100, 100},
                [this](node_id, net::message_kind Kind,
                       const std::string &Payload) {
                  asio::post(Shard.Io, [this, Kind, Payload] {
                    Traffic.Slots.onMessage(Self, Kind, Payload);
                  });
                }) {
    for (auto &Reply : Replies) {
      Upstreams.push_back(
          std::make_unique<scripted_upstream>(Shard.Io, std::move(Reply)));
    }
    setRoute(Options);
    applyRouting();
    Context.LeaseUntilUs = std::numeric_limits<std::int64_t>::max();
  }

  /// Name of the instance with this index.
  static std::string instanceName(std::size_t Index) {
    return "i-" + std::to_string(Index);
  }

  /// Start time that the list of instances gives for all of them.
  std::uint64_t StartedMs = 1'000;
  /// Indexes of instances that the list calls draining, or does not have.
  std::set<std::size_t> Draining;
  std::set<std::size_t> Hidden;
  /// Hashes of quarantined prompt segments.
  std::set<std::uint64_t> Quarantined;

  /// Software versions of the instances, by index.
  std::map<std::size_t, std::string> Versions;
  /// The latest rollout of the service.
  std::optional<store::rollout> Rollout;

  /// Replaces the router's configuration and instances.
  void applyRouting() {
    store::config_update Update;
    Update.Full = true;
    Update.Objects.push_back(object("fleet", 0, {Config}));
    for (std::size_t I = 0; I < Upstreams.size(); ++I) {
      if (Hidden.contains(I)) {
        continue;
      }
      store::instance Instance;
      Instance.Service = "s";
      Instance.Address = Upstreams[I]->address();
      Instance.FailureDomain = "a";
      Instance.Slots = 4;
      Instance.StartedMs = StartedMs;
      Instance.Version = Versions[I];
      Instance.State = Draining.contains(I) ? store::upstream_state::Leaving
                                            : store::upstream_state::In;
      Update.Objects.push_back(object(
          instanceName(I), static_cast<std::uint32_t>(5 + I), {Instance}));
    }
    for (const auto Segment : Quarantined) {
      Update.Objects.push_back(object(
          store::segmentName(Segment), 0,
          {store::quarantine{{store::segmentName(Segment)}, 1'000'000}}));
    }
    if (Rollout) {
      Update.Objects.push_back(object("s", 0, {*Rollout}));
    }
    Update.ListSize = Update.Objects.size();
    Update.Revision = revision{LastRevision};
    store::config_replica Replica;
    REQUIRE(Replica.apply(Update).has_value());
    membership::live_node Node;
    Node.Info.Node = Self;
    Node.Info.FailureDomain = "a";
    Node.Info.TrafficAddress = "127.0.0.1:8";
    auto State = std::make_unique<router::routing_state>();
    State->View = std::make_shared<const store::config_view>(Replica);
    Context.Versions.setView(State->View->traffic(), monotonic_clock::now());
    State->Nodes = std::make_shared<const std::vector<membership::live_node>>(
        1, std::move(Node));
    Context.Routing.replace(std::move(State));
  }

  /// Starts a request. Its id is unique unless `Headers` has one.
  std::shared_ptr<recorded_exchange> start(net::http_headers Headers = {},
                                           std::string Body = {}) {
    Headers.emplace_back("Host", "h");
    if (net::headerOf(Headers, "Attempt-Id").empty()) {
      Headers.emplace_back("Attempt-Id", "r" + std::to_string(++LastRequest));
    }
    auto Exchange = std::make_shared<recorded_exchange>(net::http_request{
        "GET", "/p/x", std::move(Headers), std::move(Body), ""});
    traffic::handleRequest(Traffic, Exchange);
    return Exchange;
  }

  /// Runs the event loop until the condition holds.
  template <class Condition> void runUntil(Condition Holds) {
    const instant Deadline = monotonic_clock::now() + 30s;
    while (!Holds()) {
      REQUIRE(monotonic_clock::now() < Deadline);
      Shard.Io.run_one_for(std::chrono::milliseconds(10));
    }
  }

  /// True while a request has a slot at an upstream.
  [[nodiscard]] bool isCalling() const {
    return std::any_of(
        Traffic.Requests.begin(), Traffic.Requests.end(), [](const auto &Weak) {
          const auto Request = Weak.lock();
          return Request && Request->Phase == router::request_phase::Calling;
        });
  }

  /// Sends a request and waits for its end.
  std::shared_ptr<recorded_exchange> request(net::http_headers Headers = {},
                                             std::string Body = {}) {
    auto Exchange = start(std::move(Headers), std::move(Body));
    runUntil([&] { return Exchange->Ended; });
    return Exchange;
  }

  static constexpr node_id Self{21};

private:
  store::resource_ptr object(std::string Name, std::uint32_t Number,
                             store::resource_spec Spec) {
    return std::make_shared<const store::resource>(store::resource{
        std::move(Name), Number, 1, revision{++LastRevision}, std::move(Spec)});
  }

  void setRoute(const route_options &Options) {
    Config.Version = 1;
    Config.RequiresKeys = Options.RequiresKeys;
    auto &Service = Config.Services.emplace_back();
    Service.Name = "s";
    Service.Model = Options.Kind == store::request_kind::Stream;
    Service.CacheTokens = 100'000;
    auto &Route = Config.Routes.emplace_back();
    Route.Name = "route";
    Route.Host = "h";
    Route.PathPrefix = "/p/";
    Route.Kind = Options.Kind;
    Route.Targets = {{"s", 1}};
    Route.TimeoutMs = 20'000;
    Route.MaxAttempts = Options.MaxAttempts;
    Route.Public = Options.Public;
    Route.Resumable = Options.Resumable;
  }

  std::uint64_t LastRevision = 0;
  std::uint64_t LastRequest = 0;
  store::fleet_config Config;

public:
  router::shard Shard;
  std::vector<std::unique_ptr<scripted_upstream>> Upstreams;
  router::router_context Context;
  traffic::traffic_shard Traffic;
};

/// Headers of a complete answer to a request.
inline std::string answerHead(const net::http_headers &Request,
                              const std::string &Status,
                              const std::string &MoreHeaders = {}) {
  return "HTTP/1.1 " + Status + "\r\nAttempt-Id: " +
         std::string(net::headerOf(Request, "Attempt-Id")) +
         "\r\nServer-Stamp: s\r\n" + MoreHeaders;
}

/// A complete answer with this status line and these further header lines.
inline scripted_reply answerTo(const net::http_headers &Request,
                               const std::string &Status,
                               const std::string &MoreHeaders = {}) {
  return {answerHead(Request, Status, MoreHeaders) +
          "Content-Length: 2\r\n\r\nok"};
}

} // namespace arbutus::platform::testing

#endif
