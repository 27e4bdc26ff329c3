#include "flow_fixture.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform::testing;
using after = scripted_reply::after;

namespace {

constexpr auto Stream = store::request_kind::Stream;

net::http_headers withPrompt(const std::string &Segments) {
  return {{"Prompt-Prefix", Segments}};
}

std::size_t hashOf(const std::string &Segment) { return hash64(Segment); }

/// An engine that ends while it answers a request with this segment.
scripted_upstream::reply_function crashingOn(const std::string &Segment) {
  return [Segment](const auto &Request) -> scripted_reply {
    const auto Prompt = net::headerOf(Request, "Prompt-Prefix");
    if (Prompt.find(Segment + ":") != std::string_view::npos) {
      return {"HTTP/1.1 200 OK\r\n", after::Reset};
    }
    return answerTo(Request, "200 OK");
  };
}

int requestCount(const flow_fixture &Router) {
  int Sum = 0;
  for (const auto &Upstream : Router.Upstreams) {
    Sum += Upstream->Requests;
  }
  return Sum;
}

} // namespace

// Guards against one request that ends a second upstream after the first has
// crashed under it, although a request with the same segment has ended one some
// time before, and against requests that are not repeated although their
// upstream was lost together with others.
TEST_CASE("a request that may crash upstreams is not sent to another") {
  flow_fixture Router({Stream, true}, {crashingOn("dead"), crashingOn("dead"),
                                       crashingOn("dead"), crashingOn("dead")});
  CHECK(Router.request(withPrompt("a:10,dead:20,x:1"))->Status == 502);
  CHECK(requestCount(Router) == 2);
  Router.Shard.Io.run_for(std::chrono::milliseconds(600));
  CHECK(Router.request(withPrompt("a:10,dead:20,y:1"))->Status == 502);
  CHECK(requestCount(Router) == 3);
  CHECK(Router.request(withPrompt("a:10,z:1"))->Status == 200);
}

// Guards against requests with a segment that crashes upstreams which are still
// sent, or wait, once the fleet has found it, and against sound requests that
// are refused beside them.
TEST_CASE("requests with a quarantined segment are refused at once") {
  struct row {
    std::string Name;
    std::string Prompt;
    int Status;
  };
  const std::vector<row> Rows = {
      {"first segment", "dead:20,b:5,x:1", 503},
      {"a later segment", "a:10,dead:20,x:1", 503},
      {"the same other segments", "a:10,b:5,x:1", 200},
      {"the request's own segment has that id", "a:10,dead:20", 200},
      {"no prompt", "", 200},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    flow_fixture Router({Stream, true}, {[](const auto &Request) {
                          return answerTo(Request, "200 OK");
                        }});
    Router.Quarantined = {hashOf("dead")};
    Router.applyRouting();
    const auto Exchange = Router.request(withPrompt(Row.Prompt));
    CHECK(Exchange->Status == Row.Status);
    CHECK(Router.Upstreams[0]->Requests == (Row.Status == 200 ? 1 : 0));
    if (Row.Status == 503) {
      CHECK(net::headerOf(Exchange->Headers, "Retry-After") == "60");
    }
  }
}

// Guards against a request that was queued before its segment was found and is
// sent after that.
TEST_CASE("a queued request is refused once its segment is quarantined") {
  flow_fixture Router({Stream, true}, {[](const auto &Request) {
                        return answerTo(Request, "200 OK");
                      }});
  const auto Exchange = Router.start(withPrompt("a:10,dead:20,x:1"));
  Router.Quarantined = {hashOf("dead")};
  Router.applyRouting();
  Router.runUntil([&] { return Exchange->Ended; });
  CHECK(Exchange->Status == 503);
  CHECK(Router.Upstreams[0]->Requests == 0);
}

// Guards against crashes that are reported without the segments that were on
// the upstream, and against answered requests that do not clear theirs.
TEST_CASE("a router reports what it saw of suspected segments") {
  flow_fixture Router({Stream, false}, {crashingOn("dead")});
  auto &Crashes = Router.Context.Crashes;
  CHECK(Router.request(withPrompt("a:10,dead:20,x:1"))->Status == 502);
  const auto Lost = Crashes.findings(monotonic_clock::now());
  REQUIRE(Lost.Crashes.size() == 1);
  REQUIRE(Lost.Crashes[0].Segments.size() == 2);
  CHECK(number(Lost.Crashes[0].Segments[0]) == hashOf("a"));
  CHECK(number(Lost.Crashes[0].Segments[1]) == hashOf("dead"));
  CHECK(Lost.Cleared.empty());
  CHECK(Router.request(withPrompt("a:10,y:1"))->Status == 200);
  const auto Cleared = Crashes.findings(monotonic_clock::now()).Cleared;
  REQUIRE(Cleared.size() == 1);
  CHECK(number(Cleared[0]) == hashOf("a"));
}

// Guards against sound prompts that are suspected, not repeated and in the end
// refused, because upstreams that are up answered them with broken answers.
TEST_CASE("a broken answer is no evidence of a crash") {
  const std::string Rest = "Attempt-Id: r1\r\nServer-Stamp: s\r\n";
  const std::vector<std::string> Rows = {
      "HTTP/1.1 000 X\r\n" + Rest + "Content-Length: 3\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\n" + Rest + "My Name: a\r\n\r\nbad",
      "HTTP/1.1 200 OK\r\n" + Rest +
          "Transfer-Encoding: chunked\r\n\r\n3\r\nbad!\r\n",
      "no answer\r\n\r\n",
  };
  for (const auto &Bytes : Rows) {
    CAPTURE(Bytes);
    flow_fixture Router({Stream, false}, {[&](const auto &) {
                          return scripted_reply{Bytes, after::Close};
                        }});
    CHECK(Router.request(withPrompt("a:10,x:1"))->Status == 502);
    const auto Now = monotonic_clock::now();
    CHECK(Router.Context.Crashes.findings(Now).Crashes.empty());
  }
}
