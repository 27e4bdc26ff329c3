#include "base/codec.h"
#include "control/node_agent.h"
#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr node_id Leader{2};

/// A node that has just started and knows one voter. It records the requests
/// that it sends.
struct started_node {
  started_node() {
    Settings.Node.Id = node_id{1};
    Settings.Node.IsRouter = true;
    Settings.Fleet.InitialVoters.push_back({Leader, {}});
    Agent.emplace(
        Io, Settings,
        [this](node_id, net::message_kind Kind, const std::string &Payload) {
          if (Kind == net::message_kind::ApiRequest) {
            Sent.push_back(decode<api_request_message>(Payload).value());
          }
        },
        [](const std::vector<membership::live_node> &) {}, [](incarnation) {});
    Agent->start(Context);
  }

  /// Delivers the leader's reply to a heartbeat that was sent at `SentAt`. A
  /// leader of an earlier version tells no time.
  void receiveLease(instant SentAt, instant LeaderTime = instant{}) {
    heartbeat_reply_message Reply;
    Reply.FromLeader = true;
    Reply.Term = 1;
    Reply.SendTimeUs = toMicros(SentAt);
    Reply.LeaseUs = toMicros(duration(1h));
    Reply.LeaderTimeUs = toMicros(LeaderTime);
    Agent->onFrame(Leader, incarnation{1}, net::message_kind::HeartbeatReply,
                   encode(Reply));
  }

  [[nodiscard]] bool holdsLease() const {
    return router::holdsLease(Context, monotonic_clock::now());
  }

  /// Runs timers until a request was sent; false after a second without one.
  [[nodiscard]] bool sendsRequest() {
    const instant Deadline = monotonic_clock::now() + 1s;
    while (Sent.empty() && monotonic_clock::now() < Deadline) {
      Io.run_for(std::chrono::milliseconds(10));
    }
    return !Sent.empty();
  }

  asio::io_context Io;
  settings::settings Settings;
  std::optional<node_agent> Agent;
  std::vector<api_request_message> Sent;
  router::router_context Context{
      node_id{1}, "vm-1", incarnation{5},
      Io,         [] {},  [](std::uint64_t, const std::string &) {}};
};

} // namespace

// Guards against a restarted process that serves under a lease that was granted
// to its earlier process for the configuration which that one had in force.
TEST_CASE("a lease of an earlier process of the node is not taken") {
  struct row {
    const char *What;
    duration SentAt; ///< after the start of the process
    bool Taken;
  };
  const row Rows[] = {
      {"sent before the start", -duration(1), false},
      {"sent by this process", duration::zero(), true},
      {"sent before the VM was restarted, when its clock was ahead", 1h, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    const instant BeforeStart = monotonic_clock::now();
    started_node Node;
    const instant AfterStart = monotonic_clock::now();
    const instant Base =
        Row.SentAt < duration::zero() ? BeforeStart : AfterStart;
    Node.receiveLease(Base + Row.SentAt);
    CHECK(Node.holdsLease() == Row.Taken);
  }
}

// Guards against an order without a stamp that a router took while it was cut
// off and had not met a leader since its start: it would pass as one from a
// router of an earlier version and be carried out, however late it arrives.
TEST_CASE("a request is sent once the leader's clock is known") {
  struct row {
    const char *What;
    instant LeaderTime;
    std::uint64_t Term;
  };
  const row Rows[] = {
      {"a leader that tells its time", instantFromMicros(5'000'000), 1},
      {"a leader of an earlier version", instant{}, 0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    started_node Node;
    const instant Now = monotonic_clock::now();
    Node.Agent->leader().call({}, {Now, Now + 1h}, [](const auto &) {});
    CHECK_FALSE(Node.sendsRequest());
    Node.receiveLease(monotonic_clock::now(), Row.LeaderTime);
    REQUIRE(Node.sendsRequest());
    CHECK(Node.Sent.front().Term == Row.Term);
  }
}
