#include "traffic/traffic_end.h"

#include "base/digest.h"
#include "base/log.h"
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace arbutus::traffic {

namespace {

using router::execution_outcome;
using router::request_error;
using router::request_phase;

/// Status that promises that a request has not run.
constexpr int NotRunStatus = 503;
constexpr int FirstFailure = 300;
constexpr int FirstServerError = 500;
constexpr std::string_view AnsweredResult = "answered";
/// Time after which callers are asked to come back. Short: a team's queue
/// empties within it, and other routers are open at once.
constexpr duration UsualRetryAfter = 300ms;
/// A router gets a lease again within about an election.
constexpr duration LeaseRetryAfter = 1s;
/// Longer waits are not known well enough to be told.
constexpr duration MostRetryAfter = 5s;
/// Refused callers are spread over this part of the wait around its end, so
/// that they do not return together.
constexpr double RetrySpread = 0.4;

void logFinished(const traffic_request &Request, std::string_view Result,
                 int Status) {
  const duration Time = monotonic_clock::now() - Request.Arrived;
  Request.Shard.Context.Metrics.observe(Result == AnsweredResult
                                            ? router::latency_stage::Answered
                                            : router::latency_stage::Failed,
                                        Time);
  const std::initializer_list<log_field> Fields = {
      {"request", Request.Caller.Id},
      {"team", Request.teamName()},
      {"route", Request.Route->Name},
      {"service", Request.Service},
      {"result", Result},
      {"status", Status},
      {"upstream", Request.Call.Instance},
      {"attempts", Request.Attempts},
      {"duration_us", toMicros(Time)}};
  if (Status != 0 && Status < FirstFailure) {
    logRoutine("request_finished", Fields);
  } else {
    logEvent(log_level::Info, "request_finished", Fields);
  }
}

/// Seconds after which the caller of a refused request is to come back.
std::string retryAfterText(request_error Error, duration Wanted,
                           std::string_view RequestId) {
  const duration Usual =
      Error == request_error::NotServing ? LeaseRetryAfter : UsualRetryAfter;
  const duration Wait = Wanted == duration::zero()
                            ? Usual
                            : std::clamp(Wanted, Usual, MostRetryAfter);
  constexpr std::uint64_t Steps = 1000;
  const double Place = static_cast<double>(hash64(RequestId) % Steps) / Steps;
  return fmt::format("{:.2f}",
                     toSeconds(Wait) * (1 + RetrySpread * (Place - 0.5)));
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

net::http_response refusalAnswer(request_error Error, execution_outcome Outcome,
                                 std::string_view RequestId,
                                 duration RetryAfter) {
  auto Answer = router::makeErrorResponse(Error, Outcome, RequestId);
  // The caller goes to another router; this one ends soon.
  Answer.Close = Error == request_error::ShuttingDown;
  const bool Promises = Outcome == execution_outcome::NotRun;
  if (Promises && Answer.Status >= FirstServerError) {
    Answer.Status = NotRunStatus;
  }
  std::erase_if(Answer.Headers, [](const auto &Header) {
    return net::sameHeaderName(Header.first, "Retry-After");
  });
  if (Promises && Answer.Status == NotRunStatus) {
    Answer.Headers.emplace_back("Retry-After",
                                retryAfterText(Error, RetryAfter, RequestId));
  }
  return Answer;
}

void failTraffic(const traffic_request_ptr &Request, request_error Error,
                 execution_outcome Outcome) {
  if (Request->Phase == request_phase::Finished) {
    return;
  }
  Request->Phase = request_phase::Finished;
  if (Request->MayHaveExecuted) {
    Outcome = execution_outcome::Unknown;
  }
  Request->Shard.Context.Metrics.countError(Error);
  if (Request->Exchange->answered()) {
    logFinished(*Request, nameOf(Error), Request->Call.Status);
    Request->Exchange->abort();
    return;
  }
  auto Answer =
      refusalAnswer(Error, Outcome, Request->Caller.Id, Request->RetryAfter);
  // An unknown outcome must not look like a promise.
  if (Outcome == execution_outcome::Unknown && Answer.Status == NotRunStatus) {
    Answer.Status = router::statusOf(request_error::UpstreamFailed);
  }
  logFinished(*Request, nameOf(Error), Answer.Status);
  Request->Exchange->respond(std::move(Answer));
}

void answerTraffic(const traffic_request_ptr &Request) {
  Request->Phase = request_phase::Finished;
  Request->Shard.Context.Metrics.countResponse();
  logFinished(*Request, AnsweredResult, Request->Call.Status);
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
