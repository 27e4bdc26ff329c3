#include "control/config_pusher.h"
#include "store/commands.h"
#include "store/config_replica.h"
#include "store/resource_json.h"
#include "store/state_machine.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace arbutus;
using namespace arbutus::control;

namespace {

void addDomain(store::state_machine &Store, std::uint64_t Index) {
  const nlohmann::json Json = {
      {"kind", nameOf(store::resource_kind::FailureDomain)},
      {"name", "d" + std::to_string(Index)},
      {"version", 0U},
      {"spec", {{"region", "r"}, {"state", "in"}}}};
  auto Parsed = store::parsePut(Json, "request-" + std::to_string(Index));
  for (const auto &Error : Parsed.Errors) {
    FAIL(store::toJson(Error).dump());
  }
  store::batch Batch;
  Batch.LeaderTimeMs = static_cast<std::int64_t>(Index);
  Batch.Commands.push_back(store::makeCommand(std::move(Parsed.Put)));
  static_cast<void>(Store.apply(Index, store::encodeBatch(Batch)));
  REQUIRE(number(Store.currentRevision()) == Index);
}

} // namespace

// Guards against a resend timer that each new update restarts. A node that
// missed one update would then stay behind for as long as changes go on.
TEST_CASE("a lost update is resent while changes go on") {
  constexpr node_id Node{7};
  store::state_machine Store;
  store::config_replica Replica;
  config_pusher Pusher;
  instant Now{10s};
  addDomain(Store, 1);
  Pusher.onPosition(Node, Replica.position(), Now);
  CHECK(Pusher.makeUpdates(Store, Now).size() == 1); // This update is lost.
  for (std::uint64_t Index = 2; Index < 40; ++Index) {
    Now += 100ms;
    addDomain(Store, Index);
    for (const auto &[To, Update] : Pusher.makeUpdates(Store, Now)) {
      static_cast<void>(Replica.apply(Update));
    }
    Pusher.onPosition(Node, Replica.position(), Now);
  }
  CHECK(number(Replica.currentRevision()) >= 38);
}
