#include "cli/explain.h"
#include <catch2/catch.hpp>

#include <sstream>

using namespace arbutus::cli;

namespace {

constexpr const char *RequestId = "8f65310cca9cd6c5";

/// Log lines of two VMs. The clock of the first VM is two seconds slow.
const std::string FirstVm =
    "time=2026-02-21T00:23:41.900000+00:00 level=info node=front-b event="
    "cell_owner_silent peer=7 service=model cell=5\n"
    "time=2026-02-21T00:23:42.000000+00:00 level=info node=front-b event=route "
    "request=8f65310cca9cd6c5 team=blue route=r upstream=i-1 "
    "failure_domain=b revision=66 attempt=1 waited_us=41555\n"
    "time=2026-02-21T00:23:42.100000+00:00 level=info node=front-b event=route "
    "request=0000000000000001 team=blue route=r upstream=i-2 "
    "failure_domain=b revision=66 attempt=1 waited_us=1\n"
    "   12.5 front-b time=2026-02-21T00:23:42.500000+00:00 level=info "
    "node=front-b event=call_failed request=8f65310cca9cd6c5 upstream=i-1 "
    "outcome=answer_broken status=200 not_run=false next=resume "
    "error=answer_incomplete\n"
    "time=2026-02-21T00:23:42.700000+00:00 level=info node=front-b "
    "event=request_finished request=8f65310cca9cd6c5 team=\"\" "
    "result=answered status=200 attempts=2 duration_us=700000\n"
    "time=2026-02-21T00:23:50.000000+00:00 level=info node=front-b "
    "event=config_in_force revision=70\n"
    "time=2026-02-21T00:23:42.800000+00:00 level=info node=front-b event=route "
    "request=8f65310cca9cd6c5 team=\"bl\n";
const std::string SecondVm =
    "time=2026-02-21T00:23:43.900000+00:00 level=info node=front-a "
    "event=request_refused request=8f65310cca9cd6c5 error=not_serving\n";

std::string explainLogs(const std::string &First, const std::string &Second) {
  std::istringstream FirstLog(First);
  std::istringstream SecondLog(Second);
  std::ostringstream Out;
  printHistory(collectHistory({&FirstLog, &SecondLog}, RequestId), RequestId,
               Out);
  return Out.str();
}

} // namespace

// Guards against a history that misses a line, reorders the lines of a VM, or
// fails on lines that are truncated or have a log collector's prefix.
TEST_CASE(
    "the history of a request is collected from the logs of several VMs") {
  CHECK(
      explainLogs(FirstVm, SecondVm) ==
      "request 8f65310cca9cd6c5\n"
      "  front-b +0.000 s  attempt 1: sent to upstream i-1 in failure domain "
      "b, "
      "after waiting 41555 us, under revision 66\n"
      "  front-b +0.500 s  the call of i-1 failed: answer_broken, status 200, "
      "promised not to have run: false; next: resume (answer_incomplete)\n"
      "  front-b +0.700 s  finished: answered, status 200, after 2 attempts "
      "and "
      "700000 us\n"
      "  front-a +0.000 s  refused before a route was chosen: not_serving\n"
      "  1 lines that name it are cut\n"
      "on the same VMs from 1 s before to 1 s after\n"
      "  front-b -0.100 s  cell_owner_silent peer=7 service=model cell=5\n");
  const auto EmptyHistory = explainLogs("", "");
  CHECK(EmptyHistory.find("no line") != std::string::npos);
}

// Guards against other text that is accepted as a log line, and against a log
// line that is rejected.
TEST_CASE("only complete log lines are parsed") {
  struct row {
    std::string Text;
    bool Valid;
  };
  for (const auto &Row :
       {row{"", false}, row{"time=", false}, row{"hello", false},
        row{"time=2026-02-21T00:23:41.9+00:00 node=a", false},
        row{"time=yesterday node=a event=route", false},
        row{"time=2026-02-21T00:23:41.9+00:00 node=a event=x f=\"cut", false},
        row{"time=2026-02-21T00:23:41.9+00:00 node=a event=x", true},
        row{"pod/7 time=2026-02-21T00:23:41+00:00 node=a event=x f=\"a b\"",
            true}}) {
    CAPTURE(Row.Text);
    CHECK(parseLogLine(Row.Text).has_value() == Row.Valid);
  }
}
