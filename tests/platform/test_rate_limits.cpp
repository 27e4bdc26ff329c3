#include "flow_fixture.h"
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform::testing;

// Guards against an upstream that gets more requests than its answers say it
// takes while another one has capacity (LIMIT), and against a header that
// cannot be read and stops all requests.
TEST_CASE("a named limit moves requests to other upstreams") {
  struct row {
    std::string Header;
    bool Limits;
  };
  const std::vector<row> Rows = {
      {"Server-Limit: 1\r\n", true},       {"Server-Limit: 0.5\r\n", true},
      {"Server-Limit: 0\r\n", true},       {"", false},
      {"Server-Limit: \r\n", false},       {"Server-Limit: -1\r\n", false},
      {"Server-Limit: 1e999\r\n", false},  {"Server-Limit: inf\r\n", false},
      {"Server-Limit: several\r\n", false}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Header);
    const auto Limited = [&](const auto &Request) {
      return answerTo(Request, "200 OK", Row.Header);
    };
    const auto Plain = [](const auto &Request) {
      return answerTo(Request, "200 OK");
    };
    flow_fixture Router({store::request_kind::Idempotent}, {Limited, Plain});
    for (int I = 0; I < 40; ++I) {
      const auto Exchange = Router.request();
      CHECK(Exchange->Status == 200);
    }
    CHECK(Router.Upstreams[0]->Requests + Router.Upstreams[1]->Requests == 40);
    if (Row.Limits) {
      CHECK(Router.Upstreams[0]->Requests <= 10);
    } else {
      CHECK(Router.Upstreams[0]->Requests > 10);
    }
  }
}
