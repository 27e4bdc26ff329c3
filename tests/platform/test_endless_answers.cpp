#include "flow_fixture.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform::testing;

namespace {

constexpr std::size_t BadUpstreams = 6;
constexpr int Requests = 60;
/// More than any answer may have.
constexpr std::size_t EndlessBytes = std::size_t{6} << 20U;

/// Bytes of answers that the router's requests hold together.
std::size_t keptBytes(const flow_fixture &Router) {
  std::size_t Bytes = 0;
  for (const auto &Weak : Router.Traffic.Requests) {
    if (const auto Request = Weak.lock()) {
      Bytes += Request->Attempt.Body.size();
    }
  }
  return Bytes;
}

} // namespace

// Guards against a router that runs out of memory by keeping what faulty
// upstreams send without end: each answer is bounded, but many together are
// not, and the requests of other callers end with the process.
TEST_CASE("answers without end share a bounded memory") {
  struct row {
    const char *What;
    std::string Status;
    std::string Framing;
  };
  const std::vector<row> Rows = {
      {"a body that ends with its connection", "200 OK", ""},
      {"a declared length", "200 OK",
       "Content-Length: " + std::to_string(EndlessBytes) + "\r\n"},
      {"the body of an error", "500 X", ""},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    std::vector<scripted_upstream::reply_function> Replies;
    for (std::size_t I = 0; I < BadUpstreams; ++I) {
      Replies.emplace_back([&Row](const auto &Request) {
        return scripted_reply{answerHead(Request, Row.Status, Row.Framing) +
                                  "\r\n" + std::string(EndlessBytes, 'x'),
                              scripted_reply::after::Keep};
      });
    }
    Replies.emplace_back(
        [](const auto &Request) { return answerTo(Request, "200 OK"); });
    flow_fixture Router({}, std::move(Replies));
    std::vector<std::shared_ptr<recorded_exchange>> Exchanges;
    Exchanges.reserve(Requests);
    for (int I = 0; I < Requests; ++I) {
      Exchanges.push_back(Router.start());
    }
    std::size_t MostKept = 0;
    Router.runUntil([&] {
      MostKept = std::max(MostKept, keptBytes(Router));
      return std::all_of(Exchanges.begin(), Exchanges.end(),
                         [](const auto &Exchange) { return Exchange->Ended; });
    });
    CHECK(MostKept <=
          router::DefaultAnswerMemoryBytes + Requests * net::FreeAnswerBytes);
    // The sound upstream goes on serving, also repeats of failed attempts.
    const auto Served = std::count_if(
        Exchanges.begin(), Exchanges.end(), [](const auto &Exchange) {
          return Exchange->Status == 200 && Exchange->Body == "ok";
        });
    CHECK(Served > 0);
  }
}
