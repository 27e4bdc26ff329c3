#include "traffic/slot_host.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;

namespace {

constexpr instant Start(100s);
constexpr std::uint32_t Limited = 1;
constexpr std::uint32_t Unlimited = 2;
constexpr node_id Router{11};

/// The owner of a cell with two plain upstreams, of which one may name a rate
/// limit. Every request is answered 20 ms after its slot was granted.
class limited_cell {
public:
  limited_cell() { startOwner(); }

  /// A new owner that knows nothing replaces the present one.
  void startOwner() {
    Host = std::make_unique<slot_host>(
        1,
        [this](node_id, const slot_reply_message &Reply) { onReply(Reply); });
    balance::cell Cell;
    Cell.Key = {"s", 0};
    for (const auto Id : {Limited, Unlimited}) {
      balance::upstream_info Info;
      Info.Id = upstream_id{Id};
      Info.Name = "u" + std::to_string(Id);
      Info.Slots = 6;
      Cell.Upstreams.push_back(Info);
    }
    Host->setOwnedCells({Cell}, Now);
  }

  /// A router tells the owner which requests it has at the upstreams, and the
  /// limit that it knows, `Age` after the answer that named it.
  void sendSnapshot(double PerSecond, duration Age) {
    slot_events_message Message{"s", 0, true, {}, {}};
    for (const auto &[Number, Upstream] : Calls) {
      Message.Events.push_back({Number, slot_event_kind::InUse,
                                balance::upstream_result::Ignored, Upstream});
    }
    Message.RateLimits = {{Limited, PerSecond, toMicros(Age)}};
    Host->onEvents(Router, Message, Now);
  }

  /// Plays with a request every 5 ms. Answers of the first upstream name this
  /// limit, or none if it is negative.
  void play(duration Time, double NamedLimit) {
    for (const instant End = Now + Time; Now < End; Now += 5ms) {
      answer(NamedLimit);
      slot_request_message Request;
      Request.RequestNumber = ++LastNumber;
      Request.Service = "s";
      Request.DispatchTimeoutUs = 50'000;
      Host->onRequest(Router, Request, Now);
      Host->dispatchAll(Now);
    }
  }

  /// Largest number of requests to the first upstream in 4 s from `From` on.
  [[nodiscard]] std::size_t mostIn4s(instant From) const {
    std::size_t Most = 0;
    for (const instant First : SentToLimited) {
      if (First >= From) {
        const auto Count = std::count_if(
            SentToLimited.begin(), SentToLimited.end(),
            [&](instant At) { return At >= First && At < First + 4s; });
        Most = std::max(Most, static_cast<std::size_t>(Count));
      }
    }
    return Most;
  }

  instant Now = Start;

private:
  void onReply(const slot_reply_message &Reply) {
    if (Reply.Decision != slot_decision::Granted) {
      return;
    }
    Calls[Reply.RequestNumber] = Reply.Upstream;
    Ends.emplace_back(Now + 20ms, Reply.RequestNumber);
    if (Reply.Upstream == Limited) {
      SentToLimited.push_back(Now);
    }
  }

  void answer(double NamedLimit) {
    while (!Ends.empty() && Ends.front().first <= Now) {
      const auto Number = Ends.front().second;
      Ends.erase(Ends.begin());
      const auto Upstream = Calls.at(Number);
      slot_event Event{Number, slot_event_kind::Ended,
                       balance::upstream_result::Succeeded, Upstream};
      Event.RateLimit = Upstream == Limited ? NamedLimit : NoRateLimit;
      Calls.erase(Number);
      Host->onEvents(Router, {"s", 0, false, {Event}, {}}, Now);
    }
  }

  std::unique_ptr<slot_host> Host;
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, std::uint32_t> Calls;
  std::vector<std::pair<instant, std::uint64_t>> Ends;
  std::vector<instant> SentToLimited;
};

} // namespace

// Guards against an upstream that gets more requests than it has named, also
// after the owner of its cell is replaced; the bound is that of the users' rule
// (LIMIT): one and a half times the limit and five requests in 4 s.
TEST_CASE("the owner of a cell keeps to the limits in answers") {
  struct row {
    double PerSecond;
    bool ReplaceOwner;
  };
  for (const auto &Row : {row{6, false}, row{6, true}, row{1.5, false},
                          row{1.5, true}, row{20, true}}) {
    CAPTURE(Row.PerSecond, Row.ReplaceOwner);
    limited_cell Cell;
    Cell.play(1s, Row.PerSecond);
    const instant FirstTold = Cell.Now;
    Cell.play(6s, Row.PerSecond);
    if (Row.ReplaceOwner) {
      Cell.startOwner();
      Cell.sendSnapshot(Row.PerSecond, 100ms);
    }
    Cell.play(6s, Row.PerSecond);
    const double Allowed = 1.5 * 4 * Row.PerSecond + 5;
    const auto Most = static_cast<double>(Cell.mostIn4s(FirstTold));
    CHECK(Most <= Allowed);
    CHECK(Most >= 0.8 * 4 * Row.PerSecond);
  }
}

// Guards against capacity that is lost because a limit is kept although answers
// no longer name it.
TEST_CASE("a limit ends when answers stop naming it") {
  limited_cell Cell;
  Cell.play(3s, 2);
  const instant Ended = Cell.Now;
  Cell.play(6s, NoRateLimit);
  CHECK(Cell.mostIn4s(Ended) > 200);
  // A router that has heard nothing since does not bring it back.
  Cell.sendSnapshot(2, 6s);
  const instant AfterSnapshot = Cell.Now;
  Cell.play(6s, NoRateLimit);
  CHECK(Cell.mostIn4s(AfterSnapshot) > 200);
}
