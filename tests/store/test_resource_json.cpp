#include "base/digest.h"
#include "session.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::store;

namespace {

std::vector<std::string> faultsOf(const std::vector<field_error> &Errors) {
  std::vector<std::string> Faults;
  Faults.reserve(Errors.size());
  for (const auto &Error : Errors) {
    Faults.push_back(Error.Path + " " + std::string(nameOf(Error.Code)));
  }
  return Faults;
}

nlohmann::json readList(const std::string &Deployment) {
  std::ifstream File(ARBUTUS_SOURCE_DIR "/config/" + Deployment +
                     "/resources.json");
  return nlohmann::json::parse(File);
}

} // namespace

// Guards against a fault that hides others, a fault without its path, and a
// fault that is only a consequence of one that was reported.
TEST_CASE("parsePut reports every fault of a JSON object") {
  struct row {
    std::string Text;
    std::vector<std::string> Faults;
  };
  const std::vector<row> Rows = {
      {R"({"kind":"team","name":"a","spec":{}})", {}},
      {R"({"kind":"team","name":"a","version":3,"revision":9,"team_id":4,
          "spec":{"weight":2}})",
       {}},
      {"{", {" malformed"}},
      {"[]", {" wrong_type"}},
      {"{}", {"kind missing", "name missing", "spec missing"}},
      {R"({"kind":"taem","name":"a","spec":{"x":1}})", {"kind unknown_value"}},
      {R"({"kind":"team","name":"A b","spec":3,"upstream_id":1})",
       {"upstream_id unknown_field", "spec wrong_type"}},
      {R"({"kind":"team","name":"A b","spec":{"wieght":2,"services":["a",7,"a"],
          "queue_length":-1,"body_bytes":1.5,"api_key_hashes":["demo-x"]}})",
       {"spec.services[1] wrong_type", "spec.queue_length out_of_range",
        "spec.body_bytes wrong_type", "spec.wieght unknown_field",
        "name bad_format", "spec.api_key_hashes[0] bad_format",
        "spec.services[2] duplicate"}},
      {R"({"kind":"team","name":"a","spec":{"weight":4294967297}})",
       {"spec.weight out_of_range"}},
      {R"({"kind":"upstream","name":"a","spec":{"address":"127.0.0.01:80",
          "services":[],"max_concurrent":true,"state":"out"}})",
       {"spec.failure_domain missing", "spec.max_concurrent wrong_type",
        "spec.state unknown_value", "spec.address bad_format",
        "spec.services out_of_range"}},
      {R"({"kind":"upstream","name":"a","spec":{"address":"[::1]:80",
          "failure_domain":"d","services":["s"],"max_concurrent":1}})",
       {}},
      {R"({"kind":"service","name":"a","spec":{"kind":"modle","model":"m"}})",
       {"spec.kind unknown_value"}},
      {R"({"kind":"service","name":"a","spec":{"kind":"model"}})",
       {"spec.model missing"}},
      {R"({"kind":"service","name":"a","spec":{"kind":"plain","growth":0.5,
          "routes":[{"method":"get","path_prefix":"x","idempotent":1},
          {"method":"GET","path_prefix":"/a","idempotent":true,"x":0},
          {"method":"GET","path_prefix":"/a","idempotent":false}]}})",
       {"spec.routes[0].idempotent wrong_type",
        "spec.routes[1].x unknown_field", "spec.routes[0].method unknown_value",
        "spec.routes[0].path_prefix bad_format", "spec.routes[2] duplicate",
        "spec.growth out_of_range"}},
      {R"({"kind":"policy","name":"fleet","spec":{"claim_retention_s":0}})",
       {"spec.claim_retention_s out_of_range"}},
      {R"({"kind":"pool","name":"chat","spec":{"grantor":1}})",
       {"kind not_allowed"}},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Text);
    CHECK(faultsOf(parsePutText(Row.Text, "r").Errors) == Row.Faults);
  }
}

// Guards against a suggestion that is missing or misleading.
TEST_CASE("an unknown field or value gets the nearest known name") {
  const auto Parsed = parsePutText(
      R"({"kind":"team","name":"a","spec":{"wieght":1,"zzzzzzzz":1}})", "r");
  REQUIRE(Parsed.Errors.size() == 2);
  CHECK(Parsed.Errors[0].Message ==
        "there is no such field; did you mean \"weight\"?");
  CHECK(Parsed.Errors[1].Message == "there is no such field");
}

// Guards against an operator who learns of faults one after another.
TEST_CASE("faults of form, values and references come at once") {
  session Session;
  Session.put("1", "north-a", 0, {failure_domain{"r", {}}});
  Session.put("2", "ledger", 0, {plainService()});
  Session.put("3", "w1", 0, {upstreamAt("127.0.0.1:1")});
  const auto Parsed = parsePutText(
      R"({"kind":"upstream","name":"w2","spec":{"address":"127.0.0.1:1",
          "services":["ledgr",5],"max_concurrent":0,"stat":"in"}})",
      "4");
  CHECK(faultsOf(allErrors(Parsed, Session.Store)) ==
        std::vector<std::string>{
            "spec.failure_domain missing", "spec.services[1] wrong_type",
            "spec.stat unknown_field", "spec.max_concurrent out_of_range",
            "spec.address duplicate", "spec.services[0] no_such_object"});
}

// Guards against a field that is lost between the API, the log and the API.
TEST_CASE("an object that was read can be written back") {
  session Session;
  for (const std::string Deployment : {"kereru", "zawal"}) {
    for (const auto &Entry : readList(Deployment)) {
      const auto Parsed = parsePut(Entry, "r");
      CAPTURE(Entry.dump(), faultsOf(Parsed.Errors));
      REQUIRE(Parsed.Errors.empty());
      const auto Json =
          toJson(resource{Parsed.Put.Name, 7, 3, revision{9}, Parsed.Put.Spec});
      const auto Again = parsePut(Json, "r");
      CHECK(faultsOf(Again.Errors).empty());
      CHECK(Again.Put.ExpectedVersion == 3);
      CHECK((Again.Put.Spec == Parsed.Put.Spec));
    }
  }
}

// Guards against deployment lists that the store refuses or that miss parts
// of the deployment that the design describes.
TEST_CASE("the deployment lists load and describe the deployments") {
  struct row {
    std::string Deployment;
    std::string Model;
    std::string Plain;
    std::string Path;
    std::size_t ModelWorkers;
  };
  const std::vector<row> Rows = {
      {"kereru", "kakapo-7b", "ledger", "/deposits", 12},
      {"zawal", "gnomon-7b", "shop", "/orders", 10},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Deployment);
    session Session;
    for (const auto &Entry : readList(Row.Deployment)) {
      const auto Name = Entry.at("name").get<std::string>();
      const auto Outcome = Session.run(parsePut(Entry, Name).Put);
      CAPTURE(describe(Outcome));
      REQUIRE(Outcome.Code == outcome_code::Ok);
      if (Outcome.Object->as<team>() != nullptr) {
        CHECK(Outcome.Object->as<team>()->ApiKeyHashes.at(0) ==
              sha256Hex("demo-" + Name));
      }
    }
    config_source Source;
    config_replica Replica;
    REQUIRE(Replica.apply(Source.makeUpdate(Session.Store, revision{}, 1 << 20))
                .has_value());
    const config_view View(Replica);
    CHECK(View.teams().size() == 16);
    CHECK(Session.Store.list(resource_kind::FailureDomain).size() == 3);
    const auto *Chat = View.serviceByModel(Row.Model);
    const auto *Plain = View.serviceByName(Row.Plain);
    REQUIRE((Chat != nullptr && Plain != nullptr));
    CHECK(Chat->Members.size() == Row.ModelWorkers);
    CHECK((Chat->Members[0].MaxLimit == 8 && Chat->Members[0].FirstLimit == 2));
    CHECK((Plain->Members.size() == 3 && Plain->Members[0].MaxLimit == 16));
    const auto Write = Plain->match("POST", Row.Path);
    REQUIRE(Write.has_value());
    CHECK_FALSE(Write->Idempotent);
  }
}
