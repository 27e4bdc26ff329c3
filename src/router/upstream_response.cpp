#include "router/upstream_response.h"

#include "base/json_reader.h"
#include "router/json_fields.h"
#include <nlohmann/json.hpp>

namespace arbutus::router {

double computeCost(const routed_request &Request) {
  if (!Request.IsModelRequest) {
    return 1;
  }
  if (Request.Validator) {
    const double Prompt =
        Request.Validator->promptTokens() > 0
            ? static_cast<double>(Request.Validator->promptTokens())
            : static_cast<double>(Request.Body.size()) / 4;
    return Prompt + static_cast<double>(Request.Validator->tokens());
  }
  const auto Json = parseJson(Request.Attempt.Body.text());
  if (Json.is_object() && Json.contains("usage") && Json["usage"].is_object()) {
    return static_cast<double>(
        unsignedFieldOr(Json["usage"], "prompt_tokens", 0) +
        unsignedFieldOr(Json["usage"], "completion_tokens", 0));
  }
  return static_cast<double>(Request.Body.size()) / 4;
}

void addTraceHeaders(const routed_request &Request, net::http_headers &Out) {
  Out.emplace_back("X-Request-Id", Request.CallerRequestId);
  Out.emplace_back("X-Arbutus-Node", Request.Context.NodeName);
  Out.emplace_back("X-Arbutus-Upstream", Request.Attempt.UpstreamName);
}

net::http_response makeCallerResponse(const routed_request &Request) {
  net::http_response Response;
  Response.Status = Request.Attempt.Status;
  for (const auto &[Name, Value] : Request.Attempt.Headers) {
    if (!net::sameHeaderName(Name, "x-request-id") &&
        !net::sameHeaderName(Name, "trailer")) {
      Response.Headers.emplace_back(Name, Value);
    }
  }
  addTraceHeaders(Request, Response.Headers);
  Response.Body = Request.Attempt.Body.text();
  if (Request.IsModelRequest &&
      Request.CallerRequestId != Request.UpstreamRequestId) {
    const auto At = Response.Body.find(Request.UpstreamRequestId);
    if (At != std::string::npos) {
      Response.Body.replace(At, Request.UpstreamRequestId.size(),
                            Request.CallerRequestId);
    }
  }
  return Response;
}

bool isResponseValid(const routed_request &Request) {
  if (Request.Attempt.Oversized) {
    return false;
  }
  if (Request.Validator) {
    return Request.Validator->state() == stream_state::Done;
  }
  if (Request.IsModelRequest && Request.Attempt.Status < 300) {
    const auto Json = parseJson(Request.Attempt.Body.text());
    return Json.is_object() &&
           stringFieldOrEmpty(Json, "id") == Request.UpstreamRequestId;
  }
  const std::string_view Echo =
      net::headerOf(Request.Attempt.Headers, "X-Request-Id");
  return Echo.empty() || Echo == Request.UpstreamRequestId;
}

pool::request_outcome toPoolOutcome(const routed_request &Request,
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
  if (Request.Attempt.Status == 429 || Request.Attempt.Status == 503) {
    return pool::request_outcome::Overloaded;
  }
  return Valid && Request.Attempt.Status < 500 ? pool::request_outcome::Ok
                                               : pool::request_outcome::Failed;
}

bool wasResponseRejected(const routed_request &Request) {
  return Request.Attempt.Oversized ||
         (Request.Validator &&
          Request.Validator->state() != stream_state::Open &&
          Request.Validator->state() != stream_state::Done);
}

} // namespace arbutus::router
