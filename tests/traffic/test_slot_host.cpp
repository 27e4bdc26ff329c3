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

/// A host of one cell with one upstream that takes two requests, and what it
/// has answered.
struct fixture {
  std::vector<std::string> Replies;
  slot_host Host{1, [this](node_id To, const slot_reply_message &Reply) {
                   Replies.push_back(std::to_string(number(To)) + "/" +
                                     std::to_string(Reply.Number) + " " +
                                     std::string(nameOf(Reply.Decision)) +
                                     (Reply.Upstream != 0
                                          ? " " + std::to_string(Reply.Upstream)
                                          : std::string()));
                 }};

  fixture() {
    balance::cell Cell;
    Cell.Key = {"s", 0};
    balance::upstream_info Facts;
    Facts.Id = upstream_id{5};
    Facts.Name = "u";
    Facts.Slots = 1;
    Cell.Upstreams = {Facts};
    Host.own({Cell}, Start);
  }

  void ask(node_id From, std::uint64_t Number) {
    slot_request_message Request;
    Request.Number = Number;
    Request.Service = "s";
    Request.Team = "t";
    Request.SendWithin = 200'000;
    Host.onRequest(From, Request, Start);
  }

  void tell(node_id From, bool Complete, std::vector<slot_event> Events) {
    Host.onEvents(From, {"s", 0, Complete, std::move(Events)}, Start);
  }

  std::vector<std::string> take() { return std::exchange(Replies, {}); }
};

using replies = std::vector<std::string>;

slot_event ended(std::uint64_t Number) {
  return {Number, slot_event_kind::Ended, balance::upstream_result::Succeeded,
          5};
}

slot_event holds(std::uint64_t Number, std::uint32_t Upstream = 5) {
  return {Number, slot_event_kind::Holds, balance::upstream_result::Ignored,
          Upstream};
}

} // namespace

// Guards against routers that take a slot of each other, and against requests
// under the same number of two routers that are mixed up.
TEST_CASE("slots are shared by the requests of all routers") {
  fixture Cell;
  Cell.ask(RouterA, 1);
  Cell.ask(RouterB, 1);
  Cell.ask(RouterA, 2);
  Cell.ask(RouterB, 2);
  CHECK(Cell.take() ==
        replies{"11/1 send 5", "12/1 send 5", "11/2 queued", "12/2 queued"});
  Cell.tell(RouterB, false, {ended(1)});
  CHECK(Cell.take() == replies{"11/2 send 5"});
  Cell.Host.run(Start + 200ms);
  CHECK(Cell.take() == replies{"12/2 refused"});
  CHECK(Cell.Host.waiting() == 0);
}

// Guards against slots that stay in use for ever after a lost message or a
// router that is gone.
TEST_CASE("slots that nobody holds are freed") {
  struct row {
    std::string What;
    std::function<void(fixture &)> Free;
  };
  const std::vector<row> Rows = {
      {"a list without it",
       [](fixture &Cell) { Cell.tell(RouterA, true, {holds(2)}); }},
      {"the router is gone",
       [](fixture &Cell) {
         Cell.Host.keepSenders({RouterB}, Start);
         Cell.Host.run(Start);
       }},
      {"it ended",
       [](fixture &Cell) { Cell.tell(RouterA, false, {ended(1)}); }},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    fixture Cell;
    Cell.ask(RouterA, 1);
    Cell.ask(RouterA, 2);
    Cell.ask(RouterB, 7);
    Cell.take();
    Row.Free(Cell);
    CHECK(Cell.take() == replies{"12/7 send 5"});
  }
}

// Guards against an owner that is new and fills upstreams that are full.
TEST_CASE("a new owner learns the slots in use") {
  fixture Cell;
  Cell.tell(RouterA, true, {holds(1), holds(2), holds(3, 0)});
  Cell.ask(RouterB, 7);
  CHECK(Cell.take() == replies{"12/7 queued"});
  Cell.tell(RouterA, false, {ended(2)});
  CHECK(Cell.take() == replies{"12/7 send 5"});
}

// Guards against requests that wait at a router that does not decide any more.
TEST_CASE("a cell that is given up sends its requests back") {
  fixture Cell;
  Cell.ask(RouterA, 1);
  Cell.ask(RouterA, 2);
  Cell.ask(RouterA, 3);
  Cell.take();
  Cell.Host.own({}, Start);
  CHECK(Cell.take() == replies{"11/3 not_owner"});
  Cell.ask(RouterA, 4);
  CHECK(Cell.take() == replies{"11/4 not_owner"});
}

// Guards against a cancelled request that takes a slot.
TEST_CASE("a cancelled request gets no slot") {
  fixture Cell;
  Cell.ask(RouterA, 1);
  Cell.ask(RouterA, 2);
  Cell.ask(RouterA, 3);
  Cell.take();
  Cell.tell(
      RouterA, false,
      {{3, slot_event_kind::Cancelled, balance::upstream_result::Ignored, 0}});
  Cell.tell(RouterA, false, {ended(1)});
  CHECK(Cell.take().empty());
}
