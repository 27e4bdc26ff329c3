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

/// A view with one plain service. Its upstreams have the numbers from 5 on and
/// are in the failure domains "a" and "b" by turns.
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
    // Cells go to nodes without a disk first.
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

/// The pools of one router whose cell another router owns, unless `Nodes` has
/// only itself.
struct fixture {
  explicit fixture(const std::vector<node_id> &Nodes,
                   std::uint32_t Upstreams = 1)
      : Routing(std::make_unique<router::routing_state>(
            router::routing_state{makeView(Upstreams), makeNodes(Nodes)})),
        Pools(Io, Routing, Self, 1, 1'000,
              [this](node_id To, net::message_kind Kind,
                     const std::string &Payload) {
                Sent.push_back({To, Kind, Payload});
              }) {}

  void request(std::uint64_t Id) {
    slot_wish Wish;
    Wish.RequestId = Id;
    Wish.Service = "s";
    Wish.DispatchDeadline = monotonic_clock::now() + 30s;
    Pools.request(std::move(Wish),
                  {[this](upstream_id Upstream) { Result = number(Upstream); },
                   [this](duration Wait) {
                     Result = 0;
                     RetryAfter = Wait;
                   }});
  }

  /// Runs the loop until the request is told something.
  std::uint32_t wait() {
    while (!Result) {
      Io.run_one();
    }
    return *std::exchange(Result, std::nullopt);
  }

  /// The newest slot request that was sent to another router.
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
  slot_allocator Pools;
};

} // namespace

TEST_CASE("a router that owns the cell decides by itself") {
  fixture Router({Self});
  Router.request(1);
  CHECK(Router.wait() == 5);
  CHECK(Router.Sent.empty());
}

// Guards against requests that wait for an owner that is gone, until the
// fleet has noticed it.
TEST_CASE("a router decides by itself while the owner is silent") {
  fixture Router({Other});
  Router.request(1);
  CHECK(Router.lastRequest().Service == "s");
  CHECK(Router.wait() == 5);
  const auto Asked = Router.Sent.size();
  Router.request(2);
  CHECK(Router.wait() == 5);
  // The silent owner is not asked again at once.
  for (auto I = Asked; I < Router.Sent.size(); ++I) {
    CHECK(Router.Sent[I].Kind != net::message_kind::SlotRequest);
  }
}

// Guards against an answer of the owner that is lost or taken twice.
TEST_CASE("a router follows the owner's decision") {
  struct row {
    slot_decision Decision;
    std::uint32_t Upstream;
    std::uint32_t Result;
  };
  for (const auto &Row : std::vector<row>{{slot_decision::Send, 5, 5},
                                          {slot_decision::Refused, 0, 0},
                                          {slot_decision::NotOwner, 0, 5}}) {
    CAPTURE(nameOf(Row.Decision));
    fixture Router({Other});
    Router.request(1);
    const auto Number = Router.lastRequest().Number;
    const auto Reply =
        encode(slot_reply_message{Number, Row.Decision, Row.Upstream});
    Router.Pools.onMessage(Self, net::message_kind::SlotReply, Reply);
    CHECK_FALSE(Router.Result); // a reply of another node than the owner
    Router.Pools.onMessage(Other, net::message_kind::SlotReply, Reply);
    CHECK(Router.wait() == Row.Result);
    Router.Pools.onMessage(Other, net::message_kind::SlotReply, Reply);
    CHECK_FALSE(Router.Result);
  }
}

// Guards against bytes that stop the process.
TEST_CASE("messages that cannot be read are ignored") {
  fixture Router({Self});
  for (const auto Kind :
       {net::message_kind::SlotRequest, net::message_kind::SlotReply,
        net::message_kind::SlotEvents, net::message_kind::Raft}) {
    Router.Pools.onMessage(Other, Kind, "\xff garbage");
  }
  CHECK(Router.Sent.empty());
}
