#include "platform/address_codec.h"
#include "platform/admin_codec.h"
#include "platform/config_codec.h"
#include "platform/instance_codec.h"
#include "store/config_json.h"
#include "store/config_rules.h"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string>
#include <variant>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform;

namespace {

const std::string Document = R"({"version":7,"routes":[
{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/",
 "kind":"streaming","timeout_ms":5000.0,"target_latency_ms":800,"priority":1,
 "split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
 "max_attempts":2,"public":false,"sticky":true,"resumable":true,
 "gap_aim_ms":500},
{"name":"r-2","host":"ficu95.example","path_prefix":"/x/","kind":"safe",
 "timeout_ms":3000,"service":"wuno96b"}],
"services":[{"name":"huvo11a","health_path":"/health","max_connections":390,
 "protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":12.0,
 "engine":{"slots":64,"kv_capacity":302285}},
 {"name":"wuno96b","max_connections":130}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":190000},
"tenants":[{"name":"hule930","api_keys":["k1","k2"],"priority":1}],
"unknown":{"kept":true}})";

net::http_request request(std::string Method, std::string Target,
                          std::string Body = {}) {
  net::http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  Request.Body = std::move(Body);
  return Request;
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const auto At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

// Guards against a configuration that takes effect with other values than it
// was sent with.
TEST_CASE("a configuration is parsed and its document is kept") {
  const auto Parsed = parseConfig(Document);
  REQUIRE(Parsed.has_value());
  const auto &Config = Parsed.value();
  CHECK(Config.Version == 7);
  CHECK(Config.Document == Document);
  REQUIRE(Config.Routes.size() == 2);
  const auto &Stream = Config.Routes[0];
  CHECK(Stream.Kind == store::request_kind::Stream);
  CHECK(Stream.TimeoutMs == 5000);
  CHECK(Stream.ObjectiveMs == 800);
  CHECK(Stream.PauseMs == 500);
  CHECK(Stream.MaxAttempts == 2);
  CHECK(Stream.PrefixAffinity);
  CHECK(Stream.Resumable);
  CHECK(Stream.Targets ==
        std::vector<store::route_target>{{"huvo11a", 90}, {"wuno96b", 10}});
  CHECK(Config.Routes[1].Kind == store::request_kind::Idempotent);
  CHECK(Config.Routes[1].MaxAttempts == 1);
  REQUIRE(Config.Services.size() == 2);
  CHECK(Config.Services[0].Model);
  CHECK(Config.Services[0].CacheTokens == 302285);
  CHECK(Config.Services[0].ColdRequestsPerSecond == 12.0);
  CHECK_FALSE(Config.Services[1].Model);
  REQUIRE(Config.Teams.size() == 1);
  CHECK(Config.Teams[0].Keys == std::vector<std::string>{"k1", "k2"});
  CHECK(Config.Limits.TokensPerSecond == 190000);
  CHECK(store::checkConfig(Config).empty());
  // The JSON form that goes to the leader loses nothing.
  const auto RoundTripped =
      store::parseConfigText(store::toJson(Config).dump());
  CHECK(RoundTripped.Errors.empty());
  CHECK(RoundTripped.Config == Config);
}

// Guards against a list of tenants without entries that is taken for none, and
// against its loss on the way to the leader.
TEST_CASE("a list of tenants asks for keys also while it is empty") {
  const auto Tenants =
      R"("tenants":[{"name":"hule930","api_keys":["k1","k2"],"priority":1}],)";
  struct row {
    std::string Document;
    bool RequiresKeys;
  };
  const std::vector<row> Rows = {
      {Document, true},
      {replaced(Document, Tenants, R"("tenants":[],)"), true},
      {replaced(Document, Tenants, ""), false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Document);
    const auto Parsed = parseConfig(Row.Document);
    REQUIRE(Parsed.has_value());
    CHECK(Parsed.value().RequiresKeys == Row.RequiresKeys);
    const auto Stored =
        store::parseConfigText(store::toJson(Parsed.value()).dump());
    CHECK(Stored.Errors.empty());
    CHECK(Stored.Config.RequiresKeys == Row.RequiresKeys);
  }
}

// Guards against accepting a configuration of which some fields cannot be
// parsed.
TEST_CASE("a malformed configuration is rejected") {
  struct row {
    std::string From;
    std::string To;
  };
  const std::vector<row> Rows = {
      {"\"version\":7,", ""},
      {"\"version\":7,", "\"version\":-1,"},
      {"\"version\":7,", "\"version\":\"7\","},
      {"\"kind\":\"streaming\"", "\"kind\":\"other\""},
      {"\"path_prefix\":\"/lohu930/\",", ""},
      {"\"timeout_ms\":5000.0", "\"timeout_ms\":\"5000\""},
      {"\"timeout_ms\":5000.0", "\"timeout_ms\":-1"},
      {"\"weight\":90", "\"weight\":1e30"},
      {"[\"k1\",\"k2\"]", "\"k1\""},
      {"[\"k1\",\"k2\"]", "[\"k1\",2]"},
      {"\"public\":false", "\"public\":0"},
      {"\"unknown\":{\"kept\":true}}", ""},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.From, Row.To);
    CHECK(parseConfig(replaced(Document, Row.From, Row.To)).has_error());
  }
  for (const std::string Text : {"", "[]", "7", "{}"}) {
    CAPTURE(Text);
    CHECK(parseConfig(Text).has_error());
  }
}

// Guards against an invalid configuration that takes effect.
TEST_CASE("invalid values of a configuration are found") {
  struct row {
    std::string From;
    std::string To;
    std::string Path;
  };
  const std::vector<row> Rows = {
      {"\"timeout_ms\":3000", "\"timeout_ms\":0", "routes[1].timeout_ms"},
      {"\"path_prefix\":\"/x/\"", "\"path_prefix\":\"/lohu930/\"", "routes[1]"},
      {"\"path_prefix\":\"/x/\"", "\"path_prefix\":\"/x\"",
       "routes[1].path_prefix"},
      {"\"weight\":90},{\"service\":\"wuno96b\",\"weight\":10",
       "\"weight\":0},{\"service\":\"wuno96b\",\"weight\":0",
       "routes[0].targets"},
      {"\"service\":\"huvo11a\",\"weight\"", "\"service\":\"no\",\"weight\"",
       "routes[0].targets[0].service"},
      {"\"priority\":1}],",
       "\"priority\":1},{\"name\":\"b\",\"api_keys\":"
       "[\"k2\"]}],",
       "teams[1].keys"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.From, Row.To);
    const auto Parsed = parseConfig(replaced(Document, Row.From, Row.To));
    REQUIRE(Parsed.has_value());
    const auto Errors = store::checkConfig(Parsed.value());
    REQUIRE(Errors.size() == 1);
    CHECK(Errors[0].Path == Row.Path);
  }
}

// Guards against one entry that cannot be read and costs the whole page: the
// list would not be followed any more, and its upstreams be used although they
// are gone (LOST).
TEST_CASE("an entry that cannot be read leaves the others") {
  const std::string Sound =
      R"({"id":"i-1","service":"s","address":"10.1.1.1:80","zone":"a",)"
      R"("slots":4,"state":"ready","cold_remaining_ms":0})";
  const std::string_view Open(Sound.data(), Sound.size() - 1);
  const auto With = [&](const std::string &Field, const std::string &Value) {
    return fmt::format("{},\"{}\":{}}}", Open, Field, Value);
  };
  const std::string Deep(100'000, '[');
  const std::vector<std::pair<std::string, std::string>> Odd = {
      {"a number beyond a double", With("slots", "1e999")},
      {"a number beyond a double that is not used", With("x", "-1e400")},
      {"slots beyond an integer", With("slots", "1e300")},
      {"slots beyond 64 bits", With("slots", "99999999999999999999999")},
      {"nested 100,000 deep", With("x", Deep + std::string(100'000, ']'))},
      {"nothing but brackets", Deep + std::string(100'000, ']')},
      {"port above 65535", With("address", R"("10.1.1.2:70000")")},
      {"port 0", With("address", R"("10.1.1.2:0")")},
      {"negative port", With("address", R"("10.1.1.2:-1")")},
      {"bytes that are no text", With("x", "\"\xff\xfe\"")},
      {"no JSON", "nonsense"},
      {"nothing", ""},
  };
  for (const auto &[What, Entry] : Odd) {
    CAPTURE(What);
    for (const auto &Entries : {fmt::format("{},{}", Entry, Sound),
                                fmt::format("{},{}", Sound, Entry),
                                fmt::format("{}, {} ", Sound, Entry)}) {
      const auto Page = parseInstancePage(R"({"instances":[)" + Entries +
                                          R"(], "next":"p-50"})");
      REQUIRE(Page);
      REQUIRE(Page->Instances.size() == 1);
      CHECK(Page->Instances[0].Name == "i-1");
      CHECK(Page->MalformedEntries == 1);
      CHECK(Page->NextPageToken == "p-50");
    }
  }
}

// Guards against a malformed entry that makes the whole list unusable, or that
// is taken for an upstream.
TEST_CASE("malformed entries of the instance list are left out") {
  const std::string Good =
      R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":64,)"
      R"("state":"ready","cold_remaining_ms":0,"id":"i-1","born":1779700000000})";
  struct row {
    std::string From;
    std::string To;
    bool Valid;
  };
  const std::vector<row> Rows = {
      {"ready", "ready", true},
      {"ready", "draining", true},
      {"ready", "lost", false},
      {"\"slots\":64", "\"slots\":\"64\"", false},
      {"10.0.0.9:80", "host:80", false},
      {"\"id\":\"i-1\"", "\"id\":7", false},
      {"\"id\":\"i-1\"", "\"id\":\"i 1\"", false},
      {"\"id\":\"i-1\"", R"("id":"i-1\r\nTenant: a")", false},
      {"\"id\":\"i-1\"", R"("id":"i\u00001")", false},
      {"\"id\":\"i-1\"", "\"id\":\"i\x7f\"", false},
      {"\"zone\":\"a\",", "", false},
      {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":null", false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.From, Row.To);
    const auto Page = parseInstancePage(R"({"instances":[)" +
                                        replaced(Good, Row.From, Row.To) + "," +
                                        Good + R"(],"next":"p-50"})");
    REQUIRE(Page.has_value());
    CHECK(Page->Instances.size() == (Row.Valid ? 2 : 1));
    CHECK(Page->MalformedEntries == (Row.Valid ? 0 : 1));
    CHECK(Page->NextPageToken == "p-50");
    CHECK(Page->Instances.back().Name == "i-1");
    CHECK(Page->Instances.back().Spec.StartedMs == 1779700000000);
  }
  const auto Page =
      parseInstancePage(R"({"instances":[1,null,"x"],"next":null})");
  REQUIRE(Page.has_value());
  CHECK(Page->MalformedEntries == 3);
  CHECK_FALSE(Page->NextPageToken.has_value());
  for (const std::string Bad : {"", "[]", R"({"instances":1})", "{\"inst"}) {
    CAPTURE(Bad);
    CHECK_FALSE(parseInstancePage(Bad).has_value());
  }
  CHECK(instancesTarget(std::nullopt) == "/instances");
  CHECK(instancesTarget("p-50") == "/instances?page_token=p-50");
  // A token must not end the request line of the call that it stands in.
  CHECK(instancesTarget("p 5\r\nA: b\xc3") ==
        "/instances?page_token=p%205%0D%0AA:%20b%C3");
}

// Guards against an operator's request that is translated into a wrong one.
TEST_CASE("an operator's request becomes one to the resource API") {
  struct row {
    net::http_request Request;
    /// Method and target, or the status of the response.
    std::string Expected;
    std::string Body;
  };
  const std::vector<row> Rows = {
      {request("GET", "/v1/config"), "GET /api/v1/configuration", ""},
      {request("PUT", "/v1/config", "{"), "400", ""},
      {request("POST", "/v1/config"), "405", ""},
      {request("POST", "/v1/evacuations/akl-a"),
       "PUT /api/v1/domain_state/akl-a", R"({"state":"out"})"},
      {request("DELETE", "/v1/evacuations/akl-a"),
       "PUT /api/v1/domain_state/akl-a", R"({"state":"in"})"},
      {request("GET", "/v1/evacuations/akl-a"), "404", ""},
      {request("POST", "/v1/evacuations/"), "404", ""},
      {request("GET", "/other"), "404", ""},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Request.Method, Row.Request.Target);
    const auto Result = parseAdminRequest(Row.Request);
    if (const auto *AdminRequest =
            std::get_if<router::admin_request>(&Result)) {
      CHECK(AdminRequest->Method + " " + AdminRequest->Target == Row.Expected);
      CHECK(AdminRequest->Body == Row.Body);
    } else {
      CHECK(std::to_string(std::get<net::http_response>(Result).Status) ==
            Row.Expected);
    }
  }
  const auto Result = parseAdminRequest(request("PUT", "/v1/config", Document));
  REQUIRE(std::holds_alternative<router::admin_request>(Result));
  const auto &Body = std::get<router::admin_request>(Result).Body;
  CHECK(store::parseConfigText(Body).Config.Version == 7);
}

// Guards against reporting a success that the leader did not confirm.
TEST_CASE("the leader's response is translated to the platform's format") {
  const auto Put = request("PUT", "/v1/config");
  const auto Get = request("GET", "/v1/config");
  CHECK(makeAdminResponse(Put, {0, ""}).Status == 503);
  CHECK(makeAdminResponse(Put, {200, "{}"}).Status == 200);
  CHECK(makeAdminResponse(Put, {422, "{}"}).Status == 422);
  CHECK(makeAdminResponse(Get, {0, ""}).Status == 503);
  CHECK(makeAdminResponse(Get, {404, "{}"}).Status == 503);
  CHECK(makeAdminResponse(Get, {200, "{}"}).Status == 503);
  nlohmann::json Object;
  Object["document"] = Document;
  const auto Response = makeAdminResponse(Get, {200, Object.dump()});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == Document);
}

TEST_CASE("address queries and readiness checks get a response") {
  const auto Query = parseAddressQuery(
      request("GET", "/v1/resolve?name=h&region=nz-north&zone=akl-a"));
  REQUIRE(Query.has_value());
  CHECK(Query->Region == "nz-north");
  CHECK(Query->FailureDomain == "akl-a");
  CHECK_FALSE(parseAddressQuery(request("GET", "/v1/other")).has_value());
  CHECK(makeAddressResponse({}, 2000ms).Status == 503);
  const auto Response = makeAddressResponse({"10.0.0.1:80"}, 2500ms);
  CHECK(nlohmann::json::parse(Response.Body) ==
        nlohmann::json({{"addresses", {"10.0.0.1:80"}}, {"ttl_s", 2.5}}));
  CHECK(makeHealthResponse(request("GET", "/v1/ready"), true).Status == 200);
  CHECK(makeHealthResponse(request("GET", "/v1/ready"), false).Status == 503);
  CHECK(makeHealthResponse(request("GET", "/x"), true).Status == 404);
}
