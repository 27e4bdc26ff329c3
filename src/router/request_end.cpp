#include "router/request_end.h"

#include "base/log.h"
#include "router/upstream_answer.h"

namespace arbutus::router {

void logFinished(const routed_request &Request, std::string_view Result,
                 int Status) {
  const std::initializer_list<log_field> Fields = {
      {"request", Request.PublicId},
      {"team", Request.Team->Name},
      {"service", Request.Service->Name},
      {"result", Result},
      {"status", Status},
      {"upstream", Request.Call.UpstreamName},
      {"attempts", Request.Attempts},
      {"duration_us", toMicros(monotonic_clock::now() - Request.Arrived)}};
  constexpr int FirstFailure = 300;
  if (Status != 0 && Status < FirstFailure) {
    logRoutine("request_finished", Fields);
  } else {
    logEvent(log_level::Info, "request_finished", Fields);
  }
}

void settleClaim(routed_request &Request, const net::http_response *Answer) {
  if (!Request.ClaimHeld) {
    return;
  }
  Request.ClaimHeld = false;
  if (Answer == nullptr) {
    Request.Context.Claims.finish(store::makeCommand(
        store::withdraw_command{Request.Claim->Key, Request.Claim->Owner}));
    return;
  }
  store::complete_command Complete{
      Request.Claim->Key, Request.Claim->Owner, {}};
  Complete.Answer.Status = static_cast<std::uint32_t>(Answer->Status);
  Complete.Answer.ContentType = net::headerOf(Answer->Headers, "Content-Type");
  Complete.Answer.Body = Answer->Body;
  Request.Context.Claims.finish(store::makeCommand(std::move(Complete)));
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
  auto Answer = makeErrorResponse(Error, Outcome, Request->PublicId);
  Answer.Headers.emplace_back("X-Arbutus-Node", Request->Context.NodeName);
  settleClaim(*Request,
              Outcome == execution_outcome::NotRun ? nullptr : &Answer);
  Request->Exchange->respond(std::move(Answer));
}

void endIncomplete(const request_ptr &Request, request_error Error) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countError(Error);
  logFinished(*Request, nameOf(Error), Request->Call.Status);
  Request->Exchange->writeChunk(
      "data: " +
      errorBody(Error, execution_outcome::Unknown, Request->PublicId) + "\n\n");
  Request->Exchange->endStream();
}

void answerRequest(const request_ptr &Request) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countAnswer();
  logFinished(*Request, "answered", Request->Call.Status);
  if (Request->Check && Request->Exchange->answered()) {
    Request->Context.Metrics.countTokens(
        static_cast<double>(Request->Check->tokens()));
    Request->Exchange->writeChunk("data: [DONE]\n\n");
    Request->Exchange->endStream();
    return;
  }
  auto Answer = answerOf(*Request);
  settleClaim(*Request, &Answer);
  Request->Exchange->respond(std::move(Answer));
}

void answerFromRecord(const request_ptr &Request,
                      const store::command_outcome &Outcome) {
  Request->Phase = request_phase::Finished;
  Request->Context.Metrics.countAnswer();
  net::http_response Answer;
  Answer.Status = static_cast<int>(Outcome.Answer.Status);
  if (!Outcome.Answer.ContentType.empty()) {
    Answer.Headers.emplace_back("Content-Type", Outcome.Answer.ContentType);
  }
  Answer.Headers.emplace_back("X-Request-Id", Request->PublicId);
  Answer.Headers.emplace_back("X-Arbutus-Node", Request->Context.NodeName);
  Answer.Headers.emplace_back("Idempotency-Replayed", "true");
  Answer.Headers.emplace_back("Idempotency-Expires-At-Ms",
                              std::to_string(Outcome.ExpiresAtMs));
  Answer.Body = Outcome.Answer.Body;
  logFinished(*Request, "replayed", Answer.Status);
  Request->Exchange->respond(std::move(Answer));
}

} // namespace arbutus::router
