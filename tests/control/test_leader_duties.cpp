#include "base/codec.h"
#include "control/leader_duties.h"
#include "store/state_machine.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;

namespace {

constexpr instant Start(100s);
constexpr std::uint64_t Dead = 7;
constexpr std::uint64_t Sound = 8;

/// A leader whose commands are applied at once, and routers that send it
/// heartbeats.
struct fixture {
  std::vector<heartbeat_reply_message> Replies;
  leader_duties Leader{
      node_id{1},
      [this](node_id, net::message_kind Kind, const std::string &Payload) {
        if (Kind == net::message_kind::HeartbeatReply) {
          Replies.push_back(decode<heartbeat_reply_message>(Payload).value());
        }
      },
      std::nullopt};
  store::state_machine Store;
  consensus::cluster_membership Voters;
  std::uint64_t Index = 0;
  instant Now = Start;

  fixture() { tick(); }

  void tick() {
    store::batch Batch;
    Batch.Commands = Leader.tick(1, Store, Now);
    Batch.LeaderTimeMs = Leader.logTimeMs(Now);
    static_cast<void>(Store.apply(++Index, store::encodeBatch(Batch)));
  }

  /// Heartbeat of a router with these findings; returns the reply.
  heartbeat_reply_message heartbeat(std::uint32_t Router,
                                    router::crash_findings Findings,
                                    bool IsLeading = true) {
    heartbeat_message Heartbeat;
    Heartbeat.Sender.Node = Router;
    Heartbeat.SendTimeUs = toMicros(Now);
    Heartbeat.Position.Revision = Store.currentRevision();
    Heartbeat.Crashes = std::move(Findings);
    Replies.clear();
    Leader.onHeartbeat(node_id{Router}, incarnation{1}, Heartbeat, node_id{1},
                       IsLeading, Voters, Store, Now);
    return Replies.back();
  }

  std::size_t quarantines() const {
    return Store.list(store::resource_kind::Quarantine).size();
  }
};

router::crash_findings crashOn(std::uint64_t Upstream) {
  return {{{router::upstream_run_hash{Upstream},
            {router::segment_hash{Dead}, router::segment_hash{Sound}}}},
          {},
          {}};
}

router::crash_findings cleared() {
  return {{}, {router::segment_hash{Sound}}, {}};
}

/// Lets three routers lose an upstream each, with an answer to a sound request
/// after each crash.
void crashThreeUpstreams(fixture &Fleet, bool IsLeading = true) {
  std::uint32_t Router = 11;
  for (std::uint64_t Upstream = 1; Upstream <= 3; ++Upstream) {
    Fleet.heartbeat(Router++, crashOn(Upstream), IsLeading);
    Fleet.Now += 300ms;
    Fleet.heartbeat(Router++, cleared(), IsLeading);
    Fleet.Now += 300ms;
    if (IsLeading) {
      Fleet.tick();
    }
  }
}

} // namespace

// Guards against a fleet that loses one upstream after the other to one prompt
// segment, because each router sees only its own crashes and nobody compares
// them; and against a sound segment that was in the same requests.
TEST_CASE("a segment that crashes upstreams under several routers is refused") {
  fixture Fleet;
  Fleet.Now += crash_correlator::UpdateInterval;
  Fleet.heartbeat(11, crashOn(1));
  Fleet.tick();
  CHECK(Fleet.heartbeat(12, {}).Suspicions.Segments.size() == 2);
  crashThreeUpstreams(Fleet);
  REQUIRE(Fleet.quarantines() == 1);
  CHECK((Fleet.Store.list(store::resource_kind::Quarantine)[0]
             ->as<store::quarantine>()
             ->Segments == std::vector<std::string>{store::segmentName(Dead)}));
}

// Guards against evidence that is lost with the leader: heartbeats go to all
// voters, and the next leader decides by what it heard as a follower.
TEST_CASE("a new leader knows the crashes of the former term") {
  fixture Fleet;
  Fleet.Leader.endTerm();
  crashThreeUpstreams(Fleet, false);
  Fleet.tick();
  CHECK(Fleet.heartbeat(12, {}).Suspicions.Segments.size() == 1);
  Fleet.Now += 700ms;
  Fleet.tick();
  CHECK(Fleet.quarantines() == 1);
}

// Guards against a quarantine that never ends although the segment may have
// been mended, and against one that ends early.
TEST_CASE("a quarantine ends after its time") {
  struct row {
    std::string Name;
    duration After;
    std::size_t Left;
  };
  const std::vector<row> Rows = {{"early", 59 * 60s, 1}, {"late", 61 * 60s, 0}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    fixture Fleet;
    crashThreeUpstreams(Fleet);
    REQUIRE(Fleet.quarantines() == 1);
    Fleet.Now += Row.After;
    Fleet.tick();
    CHECK(Fleet.quarantines() == Row.Left);
  }
}
