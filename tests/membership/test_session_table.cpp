#include "membership/session_table.h"
#include <catch2/catch.hpp>

using namespace arbutus;
using namespace arbutus::membership;
using event = session_event_kind;

namespace {

constexpr instant Start = instantFromMicros(1'000'000'000);

heartbeat beat(std::uint32_t Node, std::uint64_t Incarnation,
               bool Leaving = false, const std::string &Http = "127.0.0.1:1") {
  heartbeat Heartbeat;
  Heartbeat.Info.Node = node_id{Node};
  Heartbeat.Info.HttpAddress = Http;
  Heartbeat.Incarnation = incarnation{Incarnation};
  Heartbeat.SendTimeMicros = 77;
  Heartbeat.Leaving = Leaving;
  return Heartbeat;
}

std::vector<event> kinds(const std::vector<session_event> &Events) {
  std::vector<event> Kinds;
  Kinds.reserve(Events.size());
  for (const auto &Event : Events) {
    Kinds.push_back(Event.Kind);
  }
  return Kinds;
}

} // namespace

// Guards against a slow node whose session ends, a lost node that stays beyond
// its lease, an ended incarnation that is accepted, and a lost event.
TEST_CASE("sessions follow present and missing heartbeats") {
  /// One heartbeat (if `Incarnation` is not 0) and one tick at the same time.
  struct step {
    duration At;
    std::uint64_t Incarnation;
    bool Leaving;
    bool Granted;
    std::vector<event> Events;
    std::size_t Live;
  };
  struct row {
    std::string Name;
    std::vector<step> Steps;
  };
  const std::vector<row> Rows = {
      {"healthy",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {300ms, 5, false, true, {}, 1},
        {1299ms, 0, false, true, {}, 1}}},
      {"suspected, then recovered",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {1000ms, 0, false, true, {event::Suspected}, 1},
        {2999ms, 0, false, true, {}, 1},
        {2999ms, 5, false, true, {event::Recovered}, 1},
        {3998ms, 0, false, true, {}, 1}}},
      {"lost",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {3000ms, 0, false, true, {event::Suspected, event::Ended}, 0},
        {3100ms, 5, false, false, {}, 0},
        {3200ms, 4, false, false, {}, 0},
        {3300ms, 6, false, true, {event::Joined}, 1}}},
      {"heartbeat after the lease, before the tick",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {3000ms, 5, false, false, {event::Ended}, 0}}},
      {"restart",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {500ms, 6, false, true, {event::Restarted}, 1},
        {600ms, 5, false, false, {}, 1},
        {700ms, 6, false, true, {}, 1}}},
      {"draining lasts",
       {{0ms, 5, false, true, {event::Joined}, 1},
        {300ms, 5, true, true, {event::Leaving}, 1},
        {600ms, 5, false, true, {}, 1},
        {3600ms, 0, false, true, {event::Suspected, event::Ended}, 0}}},
      {"joins while draining",
       {{0ms, 5, true, true, {event::Joined, event::Leaving}, 1}}},
  };
  for (const auto &Row : Rows) {
    session_table Table;
    Table.startTerm({}, Start);
    for (const auto &Step : Row.Steps) {
      CAPTURE(Row.Name, Step.At.count());
      const auto Version = Table.nodesVersion();
      if (Step.Incarnation != 0) {
        const auto Reply = Table.onHeartbeat(
            beat(1, Step.Incarnation, Step.Leaving), Start + Step.At);
        CHECK(Reply.SendTimeMicros == 77);
        CHECK((Reply.Outcome == lease_outcome::Granted) == Step.Granted);
        CHECK(Reply.Lease == (Step.Granted ? duration(2800ms) : duration(0)));
        CHECK((Step.Granted || Reply.LastEndedIncarnation >= incarnation{5}));
      }
      CHECK(kinds(Table.tick(Start + Step.At)) == Step.Events);
      CHECK(Table.liveNodes().size() == Step.Live);
      CHECK((Table.nodesVersion() != Version) == !Step.Events.empty());
    }
  }
}

// Guards against a leader that ends a session while its holder may still use a
// lease of the former leader, or that accepts an ended incarnation.
TEST_CASE("a new term gives each known node a full lease") {
  session_table Table;
  const auto Known = [](std::uint32_t Node, std::uint64_t Incarnation,
                        std::uint64_t Closed) {
    return prior_session{beat(Node, 0).Info, incarnation{Incarnation},
                         incarnation{Closed}, false};
  };
  Table.startTerm({Known(1, 5, 0), Known(2, 0, 7), Known(3, 4, 4)}, Start);
  CHECK(Table.liveNodes().size() == 1);
  CHECK(Table.onHeartbeat(beat(2, 7), Start).Outcome ==
        lease_outcome::IncarnationClosed);
  CHECK(Table.onHeartbeat(beat(3, 4), Start).LastEndedIncarnation ==
        incarnation{4});
  CHECK(kinds(Table.tick(Start + 2999ms)) ==
        std::vector<event>{event::Suspected});
  const auto Ended = Table.tick(Start + 3000ms);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0] ==
        session_event{event::Ended, node_id{1}, incarnation{5}, {}});
  // A later term of the same table remembers the ended incarnations.
  Table.startTerm({Known(1, 5, 0)}, Start + 4s);
  CHECK(Table.liveNodes().empty());
  CHECK(Table.endedIncarnations().at(node_id{1}) == incarnation{5});
}

// Guards against nodes that keep outdated addresses.
TEST_CASE("the nodes version follows addresses but not applied revisions") {
  session_table Table;
  (void)Table.onHeartbeat(beat(1, 5), Start);
  const auto Version = Table.nodesVersion();
  auto Same = beat(1, 5);
  Same.AppliedRevision = revision{9};
  (void)Table.onHeartbeat(Same, Start);
  CHECK(Table.nodesVersion() == Version);
  CHECK(Table.liveNodes()[0].AppliedRevision == revision{9});
  (void)Table.onHeartbeat(beat(1, 5, false, "127.0.0.1:2"), Start);
  CHECK(Table.nodesVersion() != Version);
}
