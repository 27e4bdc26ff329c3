#include "base/codec.h"
#include "control/node_agent.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr node_id Leader{2};

/// A node that has just started. Frames that it sends are dropped.
struct started_node {
  started_node() {
    Settings.Node.Id = node_id{1};
    Settings.Node.IsRouter = true;
    Agent.start(Context);
  }

  /// Delivers the leader's reply to a heartbeat that was sent at `SentAt`.
  void receiveLease(instant SentAt) {
    heartbeat_reply_message Reply;
    Reply.FromLeader = true;
    Reply.Term = 1;
    Reply.SendTimeUs = toMicros(SentAt);
    Reply.LeaseUs = toMicros(duration(1h));
    Agent.onFrame(Leader, incarnation{1}, net::message_kind::HeartbeatReply,
                  encode(Reply));
  }

  [[nodiscard]] bool holdsLease() const {
    return router::holdsLease(Context, monotonic_clock::now());
  }

  asio::io_context Io;
  settings::settings Settings;
  node_agent Agent{
      Io, Settings, [](node_id, net::message_kind, const std::string &) {},
      [](const std::vector<membership::live_node> &) {}, [](incarnation) {}};
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
