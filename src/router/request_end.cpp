#include "router/request_end.h"

#include "base/log.h"
#include "router/upstream_response.h"

namespace arbutus::router {

void logFinished(const routed_request &Request, std::string_view Result,
                 int Status) {
  const std::initializer_list<log_field> Fields = {
      {"request", Request.CallerRequestId},
      {"team", Request.Team->Name},
      {"service", Request.Service->Name},
      {"result", Result},
      {"status", Status},
      {"upstream", Request.Attempt.UpstreamName},
      {"attempts", Request.Attempts},
      {"duration_us", toMicros(monotonic_clock::now() - Request.Arrived)}};
  constexpr int FirstFailure = 300;
  if (Status != 0 && Status < FirstFailure) {
    logRoutine("request_finished", Fields);
  } else {
    logEvent(log_level::Info, "request_finished", Fields);
  }
}

void completeOrWithdrawClaim(routed_request &Request,
                             const net::http_response *Response) {
  if (!Request.ClaimHeld) {
    return;
  }
  Request.ClaimHeld = false;
  if (Response == nullptr) {
    Request.Context.Claims.submitResult(store::makeCommand(
        store::withdraw_command{Request.Claim->Key, Request.Claim->Owner}));
    return;
  }
  store::complete_command Complete{
      Request.Claim->Key, Request.Claim->Owner, {}};
  Complete.Answer.Status = static_cast<std::uint32_t>(Response->Status);
  Complete.Answer.ContentType =
      net::headerOf(Response->Headers, "Content-Type");
  Complete.Answer.Body = Response->Body;
  Request.Context.Claims.submitResult(store::makeCommand(std::move(Complete)));
}

void failRequest(const request_ptr &Request, request_error Error,
                 execution_outcome Outcome) {
  if (Request->Phase == request_phase::Finished) {
    return;
  }
  Request->Phase = request_phase::Finished;
  if (Request->MayHaveExecuted) {
    Outcome = execution_outcome::Unknown;
  }
  Request->Context.Metrics.countError(Error);
  logFinished(*Request, nameOf(Error), statusOf(Error));
  auto Response = makeErrorResponse(Error, Outcome, Request->CallerRequestId);
  Response.Headers.emplace_back("X-Arbutus-Node", Request->Context.NodeName);
  completeOrWithdrawClaim(
      *Request, Outcome == execution_outcome::NotRun ? nullptr : &Response);
  Request->Exchange->respond(std::move(Response));
}

void endStreamWithError(const request_ptr &Request, request_error Error) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countError(Error);
  logFinished(*Request, nameOf(Error), Request->Attempt.Status);
  Request->Exchange->writeChunk(
      "data: " +
      errorBody(Error, execution_outcome::Unknown, Request->CallerRequestId) +
      "\n\n");
  Request->Exchange->endStream();
}

void forwardResponse(const request_ptr &Request) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countResponse();
  logFinished(*Request, "answered", Request->Attempt.Status);
  if (Request->Validator && Request->Exchange->answered()) {
    Request->Context.Metrics.countTokens(
        static_cast<double>(Request->Validator->tokens()));
    Request->Exchange->writeChunk("data: [DONE]\n\n");
    Request->Exchange->endStream();
    return;
  }
  auto Response = makeCallerResponse(*Request);
  completeOrWithdrawClaim(*Request, &Response);
  Request->Exchange->respond(std::move(Response));
}

void replayRecordedResponse(const request_ptr &Request,
                            const store::command_outcome &Outcome) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countResponse();
  net::http_response Response;
  Response.Status = static_cast<int>(Outcome.Answer.Status);
  if (!Outcome.Answer.ContentType.empty()) {
    Response.Headers.emplace_back("Content-Type", Outcome.Answer.ContentType);
  }
  Response.Headers.emplace_back("X-Request-Id", Request->CallerRequestId);
  Response.Headers.emplace_back("X-Arbutus-Node", Request->Context.NodeName);
  Response.Headers.emplace_back("Idempotency-Replayed", "true");
  Response.Headers.emplace_back("Idempotency-Expires-At-Ms",
                                std::to_string(Outcome.ExpiresAtMs));
  Response.Body = Outcome.Answer.Body;
  logFinished(*Request, "replayed", Response.Status);
  Request->Exchange->respond(std::move(Response));
}

} // namespace arbutus::router
