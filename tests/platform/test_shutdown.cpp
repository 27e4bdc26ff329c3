#include "flow_fixture.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform::testing;
using router::drain_phase;
using store::request_kind;

// Guards against requests that are taken late in a graceful shutdown and cut
// off at its end (LOST).
TEST_CASE("a request that arrives after the drain began is not passed on") {
  struct row {
    drain_phase Phase;
    int Status;
    int Requests;
  };
  for (const auto &Row :
       {row{drain_phase::Serving, 200, 1}, row{drain_phase::Announced, 200, 1},
        row{drain_phase::Draining, 503, 0}}) {
    CAPTURE(static_cast<int>(Row.Phase));
    for (const auto Kind :
         {request_kind::NonIdempotent, request_kind::Idempotent}) {
      flow_fixture Router({Kind}, {[](const auto &Request) {
                            return answerTo(Request, "200 OK");
                          }});
      Router.Context.Drain = Row.Phase;
      CHECK(Router.request()->Status == Row.Status);
      CHECK(Router.Upstreams[0]->Requests == Row.Requests);
    }
  }
}

// Guards against a request that may not be repeated and whose connection ends
// without an answer at the end of the grace period (LOST).
TEST_CASE("a request in flight at the end of the grace period is answered") {
  flow_fixture Router({request_kind::NonIdempotent},
                      {[](const auto &) { return scripted_reply{}; }});
  const auto Exchange = Router.start();
  Router.runUntil([&] { return Router.Upstreams[0]->Requests == 1; });
  Router.Context.Drain = drain_phase::Draining;
  traffic::abortRequests(Router.Traffic);
  Router.runUntil([&] { return Exchange->Ended; });
  CHECK(Exchange->Status == 502); // it may have run
  CHECK(Router.request()->Status == 503);
  CHECK(Router.Upstreams[0]->Requests == 1);
}
