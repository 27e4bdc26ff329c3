#include "cli/resource_file.h"
#include "control/resource_api.h"
#include "heap_meter.h"
#include "platform/admin_codec.h"
#include "platform/instance_codec.h"
#include "router/stream_validator.h"
#include "settings/settings.h"
#include "store/config_json.h"
#include "store/state_machine.h"
#include "vm_limits.h"
#include <catch2/catch.hpp>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <variant>
#include <vector>

using namespace arbutus;

namespace {

constexpr std::size_t Mebibyte = std::size_t{1} << 20U;
/// Half of the largest body of callers, and the largest of operators.
constexpr std::size_t TextSizes[] = {2 * Mebibyte, 16 * Mebibyte};
/// A quarter of the smallest VM. The text itself and what the process holds
/// beside it have the rest.
constexpr std::size_t MaxHeapBytes = tests::SmallestVmBytes / 4;

/// A text of some size that becomes far more memory than it has bytes.
struct hostile_form {
  const char *What;
  /// Repeated until the text is long enough.
  const char *Part;
};

constexpr hostile_form Forms[] = {
    {"arrays that nest", "["},
    {"objects that nest", R"({"":)"},
    {"arrays in objects that nest", R"([{"":)"},
    {"numbers", "0,"},
    {"empty texts", R"("",)"},
    {"empty arrays", "[],"},
    {"empty objects", "{},"},
    {"objects with a member", R"({"":0},)"},
    {"unknown fields", R"({"a":0,"b":0,"c":0},)"},
    {"nothing between commas", ","},
    {"services without anything but a name", R"({"name":""},)"},
    {"teams without anything", R"({"name":"","api_keys":[]},)"},
    {"targets", R"({"service":"","weight":1},)"},
    {"keys", R"({"name":"","api_keys":["","","","","","","","","",""]},)"},
};

std::string hostileText(const std::string &Begin, const hostile_form &Form,
                        std::size_t Size, const std::string &End) {
  std::string Text;
  Text.reserve(Size + Begin.size() + End.size());
  Text = Begin;
  const std::string Part = Form.Part;
  while (Text.size() + Part.size() < Size) {
    Text += Part;
  }
  if (!End.empty() && Text.back() == ',') {
    Text.pop_back();
  }
  return Text + End;
}

net::http_request operatorRequest(std::string Method, std::string Target,
                                  std::string Body) {
  net::http_request Request;
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  Request.Body = std::move(Body);
  return Request;
}

/// True if the platform's operator gets a 4xx for the body.
bool rejectsOrder(std::string Method, std::string Target, std::string Body) {
  const auto Result = platform::parseAdminRequest(
      operatorRequest(std::move(Method), std::move(Target), std::move(Body)));
  const auto *Response = std::get_if<net::http_response>(&Result);
  return Response != nullptr && Response->Status / 100 == 4;
}

/// True if a body at the resource API gets a 4xx from the leader.
bool rejectsResource(std::string Target, std::string Body) {
  const store::state_machine Store;
  control::api_request_message Request;
  Request.Method = "PUT";
  Request.Target = std::move(Target);
  Request.RequestId = "r-1";
  Request.Body = std::move(Body);
  const auto Plan = control::planAdminRequest(Request, Store, {});
  return !Plan.Command && Plan.Response.Status / 100 == 4;
}

} // namespace

// Guards against one text of an operator whose memory is not bounded before it
// is read into objects, which ended each process that it was sent to.
TEST_CASE("a hostile order is refused within its share of memory") {
  const tests::vm_limits Limits;
  struct row {
    std::string Reader;
    std::string Begin;
    std::function<bool(std::string)> Rejects;
  };
  const auto Config = [](std::string Text) {
    return rejectsOrder("PUT", "/v1/config", std::move(Text));
  };
  const auto Resource = [](const char *Target) {
    return [Target](std::string Text) {
      return rejectsResource(Target, std::move(Text));
    };
  };
  const std::string Services = R"({"version":1,"routes":[],"services":)";
  const std::string Routes = R"({"version":1,"services":[],"routes":)";
  const std::vector<row> Rows = {
      {"configuration", "", Config},
      {"configuration, a list", "[", Config},
      {"configuration, version", R"({"version":)", Config},
      {"configuration, routes", Routes + "[", Config},
      {"configuration, services", Services + "[", Config},
      {"configuration, teams", Services + R"([],"tenants":[)", Config},
      {"configuration, unknown", Services + R"([],"x":[)", Config},
      {"configuration, in a route", Routes + R"([{"split":[)", Config},
      {"configuration, unknown in a route", Routes + R"([{"x":[)", Config},
      {"configuration, in a team", Services + R"([],"tenants":[{"x":[)",
       Config},
      {"rollout", R"({"service":[)",
       [](std::string Text) {
         return rejectsOrder("POST", "/v1/rollouts", std::move(Text));
       }},
      {"leader, configuration", Routes + "[",
       Resource("/api/v1/configuration")},
      {"leader, services", Services + "[", Resource("/api/v1/configuration")},
      {"leader, unknown", Services + R"([],"x":[)",
       Resource("/api/v1/configuration")},
      {"leader, team", R"({"version":0,"spec":{"x":[)",
       Resource("/api/v1/team/x")},
      {"leader, service", R"({"version":0,"spec":{"routes":[)",
       Resource("/api/v1/service/x")},
      {"leader, domain", R"({"state":[)", Resource("/api/v1/domain_state/a")},
      {"leader, rollout", R"({"target":[)",
       Resource("/api/v1/rollout_order/s")},
  };
  for (const auto &Row : Rows) {
    for (const auto &Form : Forms) {
      for (const std::size_t Size : TextSizes) {
        CAPTURE(Row.Reader, Form.What, Size);
        auto Text = hostileText(Row.Begin, Form, Size, "");
        bool Rejected = false;
        const auto Peak = tests::peakHeapBytes(
            [&] { Rejected = Row.Rejects(std::move(Text)); });
        CHECK(Rejected);
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
}

// Guards against a text that is complete, so that all of it is read, and only
// then found to be none of an order.
TEST_CASE("a complete hostile configuration stays within its share of memory") {
  const tests::vm_limits Limits;
  struct row {
    const char *Begin;
    const char *End;
  };
  const row Rows[] = {
      {R"({"version":1,"services":[],"routes":[)", "]}"},
      {R"({"version":1,"routes":[],"services":[)", "]}"},
      {R"({"version":1,"routes":[],"services":[],"tenants":[)", "]}"},
      {R"({"version":1,"routes":[],"services":[],"x":[)", "]}"},
  };
  for (const auto &Row : Rows) {
    for (const auto &Form : Forms) {
      for (const std::size_t Size : TextSizes) {
        CAPTURE(Row.Begin, Form.What, Size);
        const auto Request = operatorRequest(
            "PUT", "/v1/config", hostileText(Row.Begin, Form, Size, Row.End));
        const auto Peak = tests::peakHeapBytes(
            [&] { (void)platform::parseAdminRequest(Request); });
        CHECK(Peak <= MaxHeapBytes + Request.Body.size());
      }
    }
  }
}

// Guards against limits that refuse a large configuration that is valid.
TEST_CASE("a large valid configuration passes the limits of its VM") {
  const tests::vm_limits Limits(110);
  // The largest configuration of review/10: 39 times 350 routes.
  constexpr int Routes = 39 * 350;
  std::string Text = R"({"version":7,"services":[{"name":"huvo11a"},)"
                     R"({"name":"wuno96b"}],"routes":[)";
  for (int I = 0; I < Routes; ++I) {
    Text += I == 0 ? "" : ",";
    Text += R"({"name":"r-j6q5rmm","host":"ficu95.example","path_prefix":"/)" +
            std::to_string(I) +
            R"(/","kind":"safe","timeout_ms":5000,"target_latency_ms":800,)"
            R"("priority":1,"split":[{"service":"huvo11a","weight":90},)"
            R"({"service":"wuno96b","weight":10}],"max_attempts":2,)"
            R"("public":false,"sticky":true,"resumable":true})";
  }
  Text += "]}";
  const auto Result =
      platform::parseAdminRequest(operatorRequest("PUT", "/v1/config", Text));
  const auto *Order = std::get_if<router::admin_request>(&Result);
  REQUIRE(Order != nullptr);
  const auto Parsed = store::parseConfigText(Order->Body);
  CHECK(Parsed.Errors.empty());
  CHECK(Parsed.Config.Routes.size() == Routes);
  CHECK(Parsed.Config.Document == Text);
}

// Guards against faults of a resource that take far more memory than its text.
TEST_CASE("a complete hostile resource stays within its share of memory") {
  struct row {
    const char *Target;
    const char *Begin;
    const char *End;
  };
  const row Rows[] = {
      {"/api/v1/team/x", R"({"version":0,"spec":{"services":[)", "]}}"},
      {"/api/v1/team/x", R"({"version":0,"spec":{"api_key_hashes":[)", "]}}"},
      {"/api/v1/upstream/x", R"({"version":0,"spec":{"services":[)", "]}}"},
      {"/api/v1/service/x", R"({"version":0,"spec":{"routes":[)", "]}}"},
      {"/api/v1/configuration", R"({"version":1,"services":[],"routes":[)",
       "]}"},
      {"/api/v1/configuration", R"({"version":1,"routes":[],"services":[)",
       "]}"},
  };
  // The first is short enough that its values are within their limit.
  for (const std::size_t Size : {Mebibyte / 4, 2 * Mebibyte}) {
    for (const auto &Row : Rows) {
      for (const auto &Form : Forms) {
        CAPTURE(Row.Target, Row.Begin, Form.What, Size);
        auto Text = hostileText(Row.Begin, Form, Size, Row.End);
        bool Rejected = false;
        const auto Peak = tests::peakHeapBytes(
            [&] { Rejected = rejectsResource(Row.Target, std::move(Text)); });
        CHECK(Rejected);
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
}

// Guards against a page of the list of instances that ends the leader.
TEST_CASE("a hostile page of instances stays within its share of memory") {
  const tests::vm_limits Limits;
  constexpr std::size_t PageBytes = 4 * Mebibyte;
  for (const char *Begin :
       {"", "[", R"({"instances":[)", R"({"instances":[{"x":[)",
        R"({"instances":[],"x":[)", R"({"next":[)"}) {
    for (const auto &Form : Forms) {
      for (const char *End : {"", "]}"}) {
        CAPTURE(Begin, Form.What, End);
        const auto Page = hostileText(Begin, Form, PageBytes, End);
        const auto Peak = tests::peakHeapBytes(
            [&] { (void)platform::parseInstancePage(Page); });
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
}

// Guards against one event of an engine's stream that ends the router.
TEST_CASE("a hostile event of a stream stays within its share of memory") {
  const tests::vm_limits Limits;
  for (const char *Begin :
       {"data: ", "data: [", R"(data: {"id":"u","choices":[)"}) {
    for (const auto &Form : Forms) {
      CAPTURE(Begin, Form.What);
      const auto Event = hostileText(Begin, Form, Mebibyte, "\n\n");
      router::stream_validator Validator("u", "c");
      const auto Peak =
          tests::peakHeapBytes([&] { (void)Validator.feed(Event); });
      CHECK(Peak <= MaxHeapBytes);
      CHECK(Validator.state() == router::stream_state::Malformed);
    }
  }
}

// Guards against a file of resources that takes the operator's machine down.
TEST_CASE("a hostile file of resources stays within its share of memory") {
  const tests::vm_limits Limits;
  for (const char *Begin :
       {"", "[", R"([{"kind":"team","name":"t","spec":{"x":[)"}) {
    for (const auto &Form : Forms) {
      for (const char *End : {"", "]", "]}}]"}) {
        CAPTURE(Begin, Form.What, End);
        const auto File = hostileText(Begin, Form, 2 * Mebibyte, End);
        const auto Peak =
            tests::peakHeapBytes([&] { (void)cli::parseResources(File); });
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
}

// Guards against a settings file that ends the process that reads it.
TEST_CASE("a hostile settings file stays within its share of memory") {
  const tests::vm_limits Limits;
  const hostile_form SettingsForms[] = {
      {"arrays that nest", "["},
      {"tables that nest", "{a="},
      {"numbers", "0,"},
      {"empty texts", "\"\","},
      {"empty arrays", "[],"},
      {"empty tables", "{},"},
      {"tables with a key", "{a=0},"},
  };
  // Just short of the longest file that is read, and longer ones.
  constexpr std::size_t FileSizes[] = {(std::size_t{64} << 10U) - 1,
                                       std::size_t{256} << 10U, 4 * Mebibyte};
  const auto Path = std::filesystem::temp_directory_path() /
                    ("arbutus-memory-" + std::to_string(getpid()) + ".toml");
  for (const char *Begin : {"x = [", "[fleet]\nseeds = ["}) {
    for (const auto &Form : SettingsForms) {
      for (const std::size_t Size : FileSizes) {
        CAPTURE(Begin, Form.What, Size);
        {
          std::ofstream File(Path, std::ios::binary);
          File << hostileText(Begin, Form, Size, "]");
        }
        const auto Peak =
            tests::peakHeapBytes([&] { (void)settings::readSettings(Path); });
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
  std::filesystem::remove(Path);
}
