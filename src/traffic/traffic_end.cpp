#include "traffic/traffic_end.h"

#include "base/log.h"

#include <algorithm>
#include <iterator>

namespace arbutus::traffic {

namespace {

using router::request_error;
using router::request_phase;
using router::run_outcome;

/// Status that promises that a request has not run.
constexpr int NotRunStatus = 503;
constexpr int FirstFailure = 300;
constexpr int FirstServerError = 500;
/// Wait that is asked for when an error names none.
constexpr std::string_view DefaultRetryAfter = "0.3";

void logFinished(const traffic_request &Request, std::string_view Result,
                 int Status) {
  const std::initializer_list<log_field> Fields = {
      {"request", Request.Caller.Id},
      {"team", Request.teamName()},
      {"route", Request.Route->Name},
      {"service", Request.Service},
      {"result", Result},
      {"status", Status},
      {"upstream", Request.Call.Instance},
      {"attempts", Request.Attempts},
      {"duration_us", toMicros(monotonic_clock::now() - Request.Arrived)}};
  if (Status != 0 && Status < FirstFailure) {
    logRoutine("request_finished", Fields);
  } else {
    logEvent(log_level::Info, "request_finished", Fields);
  }
}

/// Headers of the upstream's connection that the server does not drop itself.
bool isHopHeader(std::string_view Name) {
  static constexpr std::string_view Names[] = {"trailer", "upgrade", "te",
                                               "proxy-connection"};
  return std::any_of(std::begin(Names), std::end(Names), [&](auto Known) {
    return net::sameHeaderName(Name, Known);
  });
}

} // namespace

net::http_headers answerHeaders(const net::http_headers &Headers) {
  net::http_headers Kept;
  for (const auto &[Name, Value] : Headers) {
    if (!isHopHeader(Name)) {
      Kept.emplace_back(Name, Value);
    }
  }
  return Kept;
}

net::http_response refusalAnswer(request_error Error, run_outcome Outcome,
                                 std::string_view RequestId) {
  auto Answer = router::errorAnswer(Error, Outcome, RequestId);
  // The caller goes to another router; this one ends soon.
  Answer.Close = Error == request_error::ShuttingDown;
  const bool Promises = Outcome == run_outcome::NotRun;
  if (Promises && Answer.Status >= FirstServerError) {
    Answer.Status = NotRunStatus;
  }
  std::erase_if(Answer.Headers, [](const auto &Header) {
    return net::sameHeaderName(Header.first, "Retry-After");
  });
  if (Promises && Answer.Status == NotRunStatus) {
    Answer.Headers.emplace_back("Retry-After", DefaultRetryAfter);
  }
  return Answer;
}

void failTraffic(const traffic_request_ptr &Request, request_error Error,
                 run_outcome Outcome) {
  if (Request->Phase == request_phase::Finished) {
    return;
  }
  Request->Phase = request_phase::Finished;
  if (Request->MayHaveRun) {
    Outcome = run_outcome::Unknown;
  }
  Request->Shard.Context.Metrics.countError(Error);
  if (Request->Exchange->answered()) {
    logFinished(*Request, nameOf(Error), Request->Call.Status);
    Request->Exchange->abort();
    return;
  }
  auto Answer = refusalAnswer(Error, Outcome, Request->Caller.Id);
  // An unknown outcome must not look like a promise.
  if (Outcome == run_outcome::Unknown && Answer.Status == NotRunStatus) {
    Answer.Status = router::statusOf(request_error::UpstreamFailed);
  }
  logFinished(*Request, nameOf(Error), Answer.Status);
  Request->Exchange->respond(std::move(Answer));
}

void answerTraffic(const traffic_request_ptr &Request) {
  Request->Phase = request_phase::Finished;
  Request->Shard.Context.Metrics.countAnswer();
  logFinished(*Request, "answered", Request->Call.Status);
  if (Request->Exchange->answered()) {
    Request->Exchange->endStream();
    return;
  }
  Request->Exchange->respond({Request->Call.Status,
                              answerHeaders(Request->Call.Headers),
                              std::move(Request->Call.Body)});
}

void endAbandoned(const traffic_request_ptr &Request) {
  if (Request->Phase != request_phase::Finished) {
    Request->Phase = request_phase::Finished;
    logFinished(*Request, "caller_gone", 0);
  }
}

} // namespace arbutus::traffic
