#include "traffic/slot_host.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;

namespace {

constexpr instant Start(100s);
constexpr node_id RouterA{11};
constexpr node_id RouterB{12};

/// A host that owns one cell with one upstream that takes two requests. Records
/// the replies.
struct fixture {
  std::vector<std::string> Replies;
  slot_host Host{1, [this](node_id To, const slot_reply_message &Reply) {
                   Replies.push_back(std::to_string(number(To)) + "/" +
                                     std::to_string(Reply.RequestNumber) + " " +
                                     std::string(nameOf(Reply.Decision)) +
                                     (Reply.Upstream != 0
                                          ? " " + std::to_string(Reply.Upstream)
                                          : std::string()));
                 }};

  fixture() {
    balance::cell Cell;
    Cell.Key = {"s", 0};
    balance::upstream_info Info;
    Info.Id = upstream_id{5};
    Info.Name = "u";
    Info.Slots = 1;
    Cell.Upstreams = {Info};
    Host.setOwnedCells({Cell}, Start);
  }

  void sendRequest(node_id From, std::uint64_t Number) {
    slot_request_message Request;
    Request.RequestNumber = Number;
    Request.Service = "s";
    Request.Team = "t";
    Request.DispatchTimeoutUs = 200'000;
    Host.onRequest(From, Request, Start);
  }

  void sendEvents(node_id From, bool FullSnapshot,
                  std::vector<slot_event> Events) {
    Host.onEvents(From, {"s", 0, FullSnapshot, std::move(Events), {}}, Start);
  }

  std::vector<std::string> drainReplies() { return std::exchange(Replies, {}); }
};

using replies = std::vector<std::string>;

slot_event completed(std::uint64_t Number) {
  return {Number, slot_event_kind::Ended, balance::upstream_result::Succeeded,
          5};
}

slot_event inUse(std::uint64_t Number, std::uint32_t Upstream = 5) {
  return {Number, slot_event_kind::InUse, balance::upstream_result::Ignored,
          Upstream};
}

} // namespace

// Guards against routers that get the same slot, and against confusing requests
// with the same number from two routers.
TEST_CASE("slots are shared between all routers") {
  fixture Cell;
  Cell.sendRequest(RouterA, 1);
  Cell.sendRequest(RouterB, 1);
  Cell.sendRequest(RouterA, 2);
  Cell.sendRequest(RouterB, 2);
  CHECK(Cell.drainReplies() ==
        replies{"11/1 send 5", "12/1 send 5", "11/2 queued", "12/2 queued"});
  Cell.sendEvents(RouterB, false, {completed(1)});
  CHECK(Cell.drainReplies() == replies{"11/2 send 5"});
  Cell.Host.dispatchAll(Start + 200ms);
  CHECK(Cell.drainReplies() == replies{"12/2 refused"});
  CHECK(Cell.Host.waitingCount() == 0);
}

// Guards against slots that stay in use forever after a lost message or the
// failure of a router.
TEST_CASE("unused slots are released") {
  struct row {
    std::string What;
    std::function<void(fixture &)> Release;
  };
  const std::vector<row> Rows = {
      {"a list without it",
       [](fixture &Cell) { Cell.sendEvents(RouterA, true, {inUse(2)}); }},
      {"the router is gone",
       [](fixture &Cell) {
         Cell.Host.releaseDepartedRouters({RouterB}, Start);
         Cell.Host.dispatchAll(Start);
       }},
      {"it ended",
       [](fixture &Cell) { Cell.sendEvents(RouterA, false, {completed(1)}); }},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    fixture Cell;
    Cell.sendRequest(RouterA, 1);
    Cell.sendRequest(RouterA, 2);
    Cell.sendRequest(RouterB, 7);
    Cell.drainReplies();
    Row.Release(Cell);
    CHECK(Cell.drainReplies() == replies{"12/7 send 5"});
  }
}

// Guards against a new owner that sends more requests to upstreams that are
// already full.
TEST_CASE("a new owner restores the slots in use") {
  fixture Cell;
  Cell.sendEvents(RouterA, true, {inUse(1), inUse(2), inUse(3, 0)});
  Cell.sendRequest(RouterB, 7);
  CHECK(Cell.drainReplies() == replies{"12/7 queued"});
  Cell.sendEvents(RouterA, false, {completed(2)});
  CHECK(Cell.drainReplies() == replies{"12/7 send 5"});
}

// Guards against requests that wait at a router that no longer owns the cell.
TEST_CASE("requests waiting in a cell that is no longer owned are returned") {
  fixture Cell;
  Cell.sendRequest(RouterA, 1);
  Cell.sendRequest(RouterA, 2);
  Cell.sendRequest(RouterA, 3);
  Cell.drainReplies();
  Cell.Host.setOwnedCells({}, Start);
  CHECK(Cell.drainReplies() == replies{"11/3 not_owner"});
  Cell.sendRequest(RouterA, 4);
  CHECK(Cell.drainReplies() == replies{"11/4 not_owner"});
}

// Guards against a cancelled request that gets a slot.
TEST_CASE("a cancelled request gets no slot") {
  fixture Cell;
  Cell.sendRequest(RouterA, 1);
  Cell.sendRequest(RouterA, 2);
  Cell.sendRequest(RouterA, 3);
  Cell.drainReplies();
  Cell.sendEvents(
      RouterA, false,
      {{3, slot_event_kind::Cancelled, balance::upstream_result::Ignored, 0}});
  Cell.sendEvents(RouterA, false, {completed(1)});
  CHECK(Cell.drainReplies().empty());
}
