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

/// Status that guarantees that a request was not executed.
constexpr int NotRunStatus = 503;
constexpr int MinNonSuccessStatus = 300;
constexpr int MinServerErrorStatus = 500;
constexpr std::string_view AnsweredResult = "answered";
/// Default Retry-After. Short, because the queue of a team drains within this
/// time and other routers accept requests at once.
constexpr duration DefaultRetryAfter = 300ms;
/// Retry-After of a router without a lease. A lease is regained within about
/// one leader election.
constexpr duration LeaseRetryAfter = 1s;
/// Upper bound for Retry-After, because longer waits cannot be estimated well.
constexpr duration MaxRetryAfter = 5s;
/// Width of the range around Retry-After, as a fraction of it. The request id
/// selects a point in this range, so that refused callers do not retry at the
/// same time.
constexpr double RetryAfterSpread = 0.4;

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
      {"upstream", Request.Attempt.Instance},
      {"attempts", Request.Attempts},
      {"duration_us", toMicros(Time)},
      {"refusal", Request.RefusalReason},
      {"queued_for", Request.QueuedFor}};
  if (Status != 0 && Status < MinNonSuccessStatus) {
    logRoutine("request_finished", Fields);
  } else {
    logEvent(log_level::Info, "request_finished", Fields);
  }
}

/// Value of the Retry-After header, in seconds.
std::string retryAfterText(request_error Error, duration Estimate,
                           std::string_view RequestId) {
  if (Error == request_error::PromptQuarantined) {
    return std::to_string(router::retryAfterSeconds(Error));
  }
  const duration Default =
      Error == request_error::NotServing ? LeaseRetryAfter : DefaultRetryAfter;
  const duration Wait = Estimate == duration::zero()
                            ? Default
                            : std::clamp(Estimate, Default, MaxRetryAfter);
  constexpr std::uint64_t Steps = 1000;
  const double Offset = static_cast<double>(hash64(RequestId) % Steps) / Steps;
  return fmt::format("{:.2f}",
                     toSeconds(Wait) * (1 + RetryAfterSpread * (Offset - 0.5)));
}

/// Hop-by-hop headers that the HTTP server does not remove itself.
bool isHopByHopHeader(std::string_view Name) {
  static constexpr std::string_view Names[] = {"trailer", "upgrade", "te",
                                               "proxy-connection"};
  return std::any_of(std::begin(Names), std::end(Names), [&](auto Known) {
    return net::sameHeaderName(Name, Known);
  });
}

} // namespace

net::http_headers responseHeaders(const net::http_headers &Headers) {
  net::http_headers Forwarded;
  for (const auto &[Name, Value] : Headers) {
    if (!isHopByHopHeader(Name)) {
      Forwarded.emplace_back(Name, Value);
    }
  }
  return Forwarded;
}

net::http_response errorResponse(request_error Error, execution_outcome Outcome,
                                 std::string_view RequestId,
                                 duration RetryAfter) {
  auto Response = router::makeErrorResponse(Error, Outcome, RequestId);
  // Closes the connection so that the caller reconnects to another router; this
  // one stops soon.
  Response.Close = Error == request_error::ShuttingDown;
  const bool ProvenNotRun = Outcome == execution_outcome::NotRun;
  if (ProvenNotRun && Response.Status >= MinServerErrorStatus) {
    Response.Status = NotRunStatus;
  }
  std::erase_if(Response.Headers, [](const auto &Header) {
    return net::sameHeaderName(Header.first, "Retry-After");
  });
  if (ProvenNotRun && Response.Status == NotRunStatus) {
    Response.Headers.emplace_back("Retry-After",
                                  retryAfterText(Error, RetryAfter, RequestId));
  }
  return Response;
}

void failRequest(const traffic_request_ptr &Request, request_error Error,
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
    logFinished(*Request, nameOf(Error), Request->Attempt.Status);
    Request->Exchange->abort();
    return;
  }
  auto Response =
      errorResponse(Error, Outcome, Request->Caller.Id, Request->RetryAfter);
  // With an unknown outcome, the status must not guarantee that the request was
  // not executed.
  if (Outcome == execution_outcome::Unknown &&
      Response.Status == NotRunStatus) {
    Response.Status = router::statusOf(request_error::UpstreamFailed);
  }
  logFinished(*Request, nameOf(Error), Response.Status);
  Request->Exchange->respond(std::move(Response));
}

void completeRequest(const traffic_request_ptr &Request) {
  Request->Phase = request_phase::Finished;
  Request->Shard.Context.Metrics.countResponse();
  logFinished(*Request, AnsweredResult, Request->Attempt.Status);
  if (Request->Exchange->answered()) {
    Request->Exchange->endStream();
    return;
  }
  Request->Exchange->respond({Request->Attempt.Status,
                              responseHeaders(Request->Attempt.Headers),
                              Request->Attempt.Body.take()});
}

void completeDisconnected(const traffic_request_ptr &Request) {
  if (Request->Phase != request_phase::Finished) {
    Request->Phase = request_phase::Finished;
    logFinished(*Request, "caller_gone", 0);
  }
}

} // namespace arbutus::traffic
