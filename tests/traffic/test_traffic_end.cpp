#include "traffic/traffic_end.h"
#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;
using router::execution_outcome;
using router::request_error;

namespace {

std::string retryAfterOf(const net::http_response &Response) {
  return std::string(net::headerOf(Response.Headers, "Retry-After"));
}

} // namespace

// Guards against a Retry-After that is too short or the same for all callers,
// and against a status that guarantees more than is known.
TEST_CASE("an error response has a matching status and Retry-After") {
  struct row {
    std::string Name;
    request_error Error;
    execution_outcome Outcome;
    duration RetryAfter;
    int Status;
    double MinSeconds; ///< 0 for no Retry-After
    double MaxSeconds;
  };
  const std::vector<row> Rows = {
      {"a queue of known length", request_error::Overloaded,
       execution_outcome::NotRun, 2s, 503, 1.6, 2.4},
      {"a full upstream", request_error::Overloaded, execution_outcome::NotRun,
       0s, 503, 0.24, 0.36},
      {"no lease", request_error::NotServing, execution_outcome::NotRun, 0s,
       503, 0.8, 1.2},
      {"a wait that nobody knows", request_error::Overloaded,
       execution_outcome::NotRun, 600s, 503, 4, 6},
      {"it may have run", request_error::UpstreamFailed,
       execution_outcome::Unknown, 0s, 502, 0, 0},
      {"a wrong key", request_error::InvalidKey, execution_outcome::NotRun, 0s,
       401, 0, 0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    std::set<std::string> Seen;
    for (int Id = 0; Id < 50; ++Id) {
      const auto Response =
          errorResponse(Row.Error, Row.Outcome, "request-" + std::to_string(Id),
                        Row.RetryAfter);
      CHECK(Response.Status == Row.Status);
      const std::string Text = retryAfterOf(Response);
      REQUIRE(Text.empty() == (Row.MinSeconds == 0));
      if (!Text.empty()) {
        CHECK(std::stod(Text) >= Row.MinSeconds);
        CHECK(std::stod(Text) <= Row.MaxSeconds);
        Seen.insert(Text);
      }
    }
    CHECK((Row.MinSeconds == 0 || Seen.size() > 5));
  }
}
