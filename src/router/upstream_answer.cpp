#include "router/upstream_answer.h"

#include "router/json_fields.h"
#include <nlohmann/json.hpp>

namespace arbutus::router {

double costOf(const routed_request &Request) {
  if (!Request.Model) {
    return 1;
  }
  if (Request.Check) {
    const double Prompt =
        Request.Check->promptTokens() > 0
            ? static_cast<double>(Request.Check->promptTokens())
            : static_cast<double>(Request.Body.size()) / 4;
    return Prompt + static_cast<double>(Request.Check->tokens());
  }
  const auto Json = nlohmann::json::parse(Request.Call.Body, nullptr, false);
  if (Json.is_object() && Json.contains("usage") && Json["usage"].is_object()) {
    return static_cast<double>(numberOr(Json["usage"], "prompt_tokens", 0) +
                               numberOr(Json["usage"], "completion_tokens", 0));
  }
  return static_cast<double>(Request.Body.size()) / 4;
}

void addTraceHeaders(const routed_request &Request, net::http_headers &Out) {
  Out.emplace_back("X-Request-Id", Request.PublicId);
  Out.emplace_back("X-Arbutus-Node", Request.Context.NodeName);
  Out.emplace_back("X-Arbutus-Upstream", Request.Call.UpstreamName);
}

net::http_response answerOf(const routed_request &Request) {
  net::http_response Answer;
  Answer.Status = Request.Call.Status;
  for (const auto &[Name, Value] : Request.Call.Headers) {
    if (!net::sameHeaderName(Name, "x-request-id") &&
        !net::sameHeaderName(Name, "trailer")) {
      Answer.Headers.emplace_back(Name, Value);
    }
  }
  addTraceHeaders(Request, Answer.Headers);
  Answer.Body = Request.Call.Body;
  if (Request.Model && Request.PublicId != Request.UpstreamId) {
    const auto At = Answer.Body.find(Request.UpstreamId);
    if (At != std::string::npos) {
      Answer.Body.replace(At, Request.UpstreamId.size(), Request.PublicId);
    }
  }
  return Answer;
}

bool answerIsValid(const routed_request &Request) {
  if (Request.Call.Oversized) {
    return false;
  }
  if (Request.Check) {
    return Request.Check->state() == stream_state::Done;
  }
  if (Request.Model && Request.Call.Status < 300) {
    const auto Json = nlohmann::json::parse(Request.Call.Body, nullptr, false);
    return Json.is_object() && textOf(Json, "id") == Request.UpstreamId;
  }
  const std::string_view Echo =
      net::headerOf(Request.Call.Headers, "X-Request-Id");
  return Echo.empty() || Echo == Request.UpstreamId;
}

pool::request_outcome poolOutcome(const routed_request &Request,
                                  net::call_outcome Outcome, bool Valid) {
  switch (Outcome) {
  case net::call_outcome::NothingSent:
    return pool::request_outcome::ConnectFailed;
  case net::call_outcome::DeadlinePassed:
    return pool::request_outcome::TimedOut;
  case net::call_outcome::Cancelled:
    return pool::request_outcome::Cancelled;
  case net::call_outcome::SentNoAnswer:
  case net::call_outcome::AnswerBroken:
    return pool::request_outcome::Failed;
  case net::call_outcome::Complete:
    break;
  }
  if (Request.Call.Status == 429 || Request.Call.Status == 503) {
    return pool::request_outcome::Overloaded;
  }
  return Valid && Request.Call.Status < 500 ? pool::request_outcome::Ok
                                            : pool::request_outcome::Failed;
}

bool cancelledByCheck(const routed_request &Request) {
  return Request.Call.Oversized ||
         (Request.Check && Request.Check->state() != stream_state::Open &&
          Request.Check->state() != stream_state::Done);
}

} // namespace arbutus::router
