#include "base/codec.h"
#include "traffic/slot_allocator.h"
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;

namespace {

constexpr node_id Self{21};
constexpr node_id Other{22};

store::resource_ptr object(std::string Name, std::uint32_t Number,
                           std::uint64_t Revision, store::resource_spec Spec) {
  return std::make_shared<const store::resource>(store::resource{
      std::move(Name), Number, 1, revision{Revision}, std::move(Spec)});
}

/// A configuration view with one plain service. Its upstreams have ids from 5
/// on and alternate between the failure domains "a" and "b".
std::shared_ptr<const store::config_view> makeView(std::uint32_t Upstreams) {
  store::fleet_config Config;
  Config.Version = 1;
  Config.Services.emplace_back().Name = "s";
  store::config_update Update;
  Update.Full = true;
  Update.Revision = revision{1 + Upstreams};
  Update.ListSize = 1 + Upstreams;
  Update.Objects = {object("fleet", 0, 1, {Config})};
  for (std::uint32_t I = 0; I < Upstreams; ++I) {
    store::instance Instance;
    Instance.Service = "s";
    Instance.Address = "127.0.0.1:9";
    Instance.FailureDomain = I % 2 == 0 ? "a" : "b";
    Instance.Slots = 1;
    Update.Objects.push_back(
        object("i-" + std::to_string(100 + I), 5 + I, 2 + I, {Instance}));
  }
  store::config_replica Replica;
  REQUIRE(Replica.apply(Update).has_value());
  return std::make_shared<const store::config_view>(Replica);
}

std::shared_ptr<const std::vector<membership::live_node>>
makeNodes(const std::vector<node_id> &Ids) {
  auto Nodes = std::make_shared<std::vector<membership::live_node>>();
  for (const node_id Id : Ids) {
    membership::live_node Node;
    Node.Info.Node = Id;
    Node.Info.FailureDomain = "a";
    // Routers that are not voters are preferred as cell owners.
    Node.Info.IsControl = Id == Self;
    Node.Info.TrafficAddress = "127.0.0.1:8";
    Nodes->push_back(Node);
  }
  return Nodes;
}

struct sent_message {
  node_id To;
  net::message_kind Kind;
  std::string Payload;
};

/// The allocator of one router. The cell is owned by another router unless
/// `Nodes` contains only this one.
struct fixture {
  explicit fixture(const std::vector<node_id> &Nodes,
                   std::uint32_t Upstreams = 1)
      : Routing(std::make_unique<router::routing_state>(
            router::routing_state{makeView(Upstreams), makeNodes(Nodes)})),
        Allocator(Io, Routing, Self, 1, 1'000,
                  [this](node_id To, net::message_kind Kind,
                         const std::string &Payload) {
                    Sent.push_back({To, Kind, Payload});
                  }) {}

  void request(std::uint64_t Id,
               std::vector<balance::prompt_block> Prompt = {}) {
    slot_request Request;
    Request.Prompt = std::move(Prompt);
    Request.RequestId = Id;
    Request.Service = "s";
    Request.DispatchDeadline = monotonic_clock::now() + 30s;
    Allocator.acquire(std::move(Request), {[this](upstream_id Upstream) {
                                             Result = number(Upstream);
                                           },
                                           [this](const slot_refusal &Refusal) {
                                             Result = 0;
                                             RetryAfter = Refusal.RetryAfter;
                                           }});
  }

  /// Runs the event loop until a callback was called. Returns the upstream, or
  /// 0 if the request was refused.
  std::uint32_t runUntilResult() {
    while (!Result) {
      Io.run_one();
    }
    return *std::exchange(Result, std::nullopt);
  }

  /// The latest slot request that was sent to another router.
  slot_request_message lastRequest() const {
    for (auto It = Sent.rbegin(); It != Sent.rend(); ++It) {
      if (It->Kind == net::message_kind::SlotRequest) {
        return decode<slot_request_message>(It->Payload).value();
      }
    }
    FAIL("no slot request was sent");
    return {};
  }

  asio::io_context Io;
  rcu_snapshot<router::routing_state> Routing;
  std::vector<sent_message> Sent;
  std::optional<std::uint32_t> Result;
  duration RetryAfter{};
  slot_allocator Allocator;
};

} // namespace

TEST_CASE("a router that owns the cell schedules locally") {
  fixture Router({Self});
  Router.request(1);
  CHECK(Router.runUntilResult() == 5);
  CHECK(Router.Sent.empty());
}

// Guards against requests that wait for a failed owner until the fleet has
// detected the failure.
TEST_CASE("a router schedules locally while the owner does not reply") {
  fixture Router({Other});
  Router.request(1);
  CHECK(Router.lastRequest().Service == "s");
  CHECK(Router.runUntilResult() == 5);
  const auto SentBefore = Router.Sent.size();
  Router.request(2);
  CHECK(Router.runUntilResult() == 5);
  // No slot request is sent to the unresponsive owner during the back-off.
  for (auto I = SentBefore; I < Router.Sent.size(); ++I) {
    CHECK(Router.Sent[I].Kind != net::message_kind::SlotRequest);
  }
}

// Guards against replies of the owner that are lost or handled twice.
TEST_CASE("a router applies the owner's decision") {
  struct row {
    slot_decision Decision;
    std::uint32_t Upstream;
    std::uint32_t Result;
  };
  for (const auto &Row : std::vector<row>{{slot_decision::Granted, 5, 5},
                                          {slot_decision::Refused, 0, 0},
                                          {slot_decision::NotOwner, 0, 5}}) {
    CAPTURE(nameOf(Row.Decision));
    fixture Router({Other});
    Router.request(1);
    const auto Number = Router.lastRequest().RequestNumber;
    const auto Reply =
        encode(slot_reply_message{Number, Row.Decision, Row.Upstream});
    Router.Allocator.onMessage(Self, net::message_kind::SlotReply, Reply);
    CHECK_FALSE(Router.Result); // the reply is not from the owner
    Router.Allocator.onMessage(Other, net::message_kind::SlotReply, Reply);
    CHECK(Router.runUntilResult() == Row.Result);
    Router.Allocator.onMessage(Other, net::message_kind::SlotReply, Reply);
    CHECK_FALSE(Router.Result);
  }
}

// Guards against malformed messages that terminate the process.
TEST_CASE("malformed messages are ignored") {
  fixture Router({Self});
  for (const auto Kind :
       {net::message_kind::SlotRequest, net::message_kind::SlotReply,
        net::message_kind::SlotEvents, net::message_kind::Raft}) {
    Router.Allocator.onMessage(Other, Kind, "\xff garbage");
  }
  CHECK(Router.Sent.empty());
}

// Pattern: a large service in several failure domains. Guards against request
// bodies that cross domains, against a domain that stays overloaded while
// others are idle, and against a long shared prefix that each domain prefills
// anew.
TEST_CASE(
    "requests use the cells of their failure domain until they are busy") {
  struct row {
    std::string What;
    std::uint64_t SharedTokens;
    double ReportedBusyShare;
    bool AllNear;
  };
  const std::vector<row> Rows = {
      {"short prefix, idle", 300, 0, true},
      {"short prefix, busy", 300, 1, false},
      {"long prefix, idle", 6'000, 0, false},
  };
  constexpr std::uint32_t Upstreams = 40;
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    fixture Router({Self, Other}, Upstreams);
    Router.Allocator.refreshRouting();
    // Upstreams alternate between the domains "a" and "b"; the first cells are
    // those of "a", where this router is.
    constexpr std::uint32_t NearCells = 2;
    std::size_t Near = 0;
    constexpr std::uint64_t Requests = 60;
    for (std::uint64_t Id = 1; Id <= Requests; ++Id) {
      Router.request(Id, {{Id * 31, Row.SharedTokens}, {Id * 37, 900}});
      const auto Message = Router.lastRequest();
      Near += Message.Cell < NearCells ? 1 : 0;
      slot_reply_message Reply;
      Reply.RequestNumber = Message.RequestNumber;
      Reply.Decision = slot_decision::Granted;
      Reply.Upstream = 5;
      Reply.BusyShare = Message.Cell < NearCells ? Row.ReportedBusyShare : 0;
      Router.Allocator.onMessage(Other, net::message_kind::SlotReply,
                                 encode(Reply));
    }
    CHECK((Near == Requests) == Row.AllNear);
    CHECK(Near > 0);
  }
}

// Pattern: hundreds of routers and tens of cells. Guards against control
// traffic that grows with the product of both: an owner hears from the routers
// that use its cell, not from all.
TEST_CASE("only the owners of cells in use receive snapshots") {
  fixture Router({Self, Other}, 40);
  Router.Allocator.refreshRouting();
  CHECK(Router.Sent.empty());
  Router.request(1);
  const auto Used = Router.lastRequest().Cell;
  Router.Sent.clear();
  const instant Deadline = monotonic_clock::now() + 20s;
  while (Router.Sent.empty() && monotonic_clock::now() < Deadline) {
    Router.Io.run_one();
  }
  REQUIRE_FALSE(Router.Sent.empty());
  for (const auto &Message : Router.Sent) {
    if (Message.Kind == net::message_kind::SlotEvents) {
      CHECK(decode<slot_events_message>(Message.Payload).value().Cell == Used);
    }
  }
}
