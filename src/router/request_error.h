#ifndef ARBUTUS_ROUTER_REQUEST_ERROR_H
#define ARBUTUS_ROUTER_REQUEST_ERROR_H

#include "base/name_table.h"
#include "net/http_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::router {

/// Why a caller gets no response from an upstream. The texts in the name table
/// are part of the public interface.
enum class request_error {
  InvalidKey,
  ServiceNotAllowed,
  UnknownModel,
  UnknownService,
  UnknownRoute,
  MalformedBody,
  HeaderTooLarge,
  BodyTooLarge,
  QueueFull,
  Overloaded,
  NotServing,
  NoUpstream,
  PromptQuarantined,
  DeadlineExceeded,
  ShuttingDown,
  UpstreamUnreachable,
  UpstreamFailed,
  UpstreamAnswerInvalid,
  AnswerIncomplete,
  ClaimInProgress,
  ClaimMismatch,
  ClaimUnknown,
  ClaimsUnavailable,
};

/// Whether a request was executed. `NotRun` guarantees that it was not.
enum class execution_outcome { NotRun, Unknown };

/// Returns the HTTP status of an error.
[[nodiscard]] int statusOf(request_error Error) noexcept;

/// Returns the seconds for the Retry-After header, or 0 for no header.
[[nodiscard]] int retryAfterSeconds(request_error Error) noexcept;

/// Returns a description for the caller.
[[nodiscard]] std::string_view messageOf(request_error Error) noexcept;

/// Returns the body of an error response, without a trailing newline:
/// `{"error":{"type":...,"message":...},"outcome":...,"request_id":...}`.
[[nodiscard]] std::string errorBody(request_error Error,
                                    execution_outcome Outcome,
                                    std::string_view RequestId);

/// Returns an error response with status, headers and body.
[[nodiscard]] net::http_response makeErrorResponse(request_error Error,
                                                   execution_outcome Outcome,
                                                   std::string_view RequestId);

} // namespace arbutus::router

namespace arbutus {

template <> struct name_table<router::execution_outcome> {
  static constexpr name_row<router::execution_outcome> Rows[] = {
      {router::execution_outcome::NotRun, "not_run"},
      {router::execution_outcome::Unknown, "unknown"},
  };
};

template <> struct name_table<router::request_error> {
  using error = router::request_error;
  static constexpr name_row<error> Rows[] = {
      {error::InvalidKey, "invalid_key"},
      {error::ServiceNotAllowed, "service_not_allowed"},
      {error::UnknownModel, "unknown_model"},
      {error::UnknownService, "unknown_service"},
      {error::UnknownRoute, "unknown_route"},
      {error::MalformedBody, "malformed_body"},
      {error::HeaderTooLarge, "header_too_large"},
      {error::BodyTooLarge, "body_too_large"},
      {error::QueueFull, "queue_full"},
      {error::Overloaded, "overloaded"},
      {error::NotServing, "not_serving"},
      {error::NoUpstream, "no_upstream"},
      {error::PromptQuarantined, "prompt_quarantined"},
      {error::DeadlineExceeded, "deadline_exceeded"},
      {error::ShuttingDown, "shutting_down"},
      {error::UpstreamUnreachable, "upstream_unreachable"},
      {error::UpstreamFailed, "upstream_failed"},
      {error::UpstreamAnswerInvalid, "upstream_answer_invalid"},
      {error::AnswerIncomplete, "answer_incomplete"},
      {error::ClaimInProgress, "claim_in_progress"},
      {error::ClaimMismatch, "claim_mismatch"},
      {error::ClaimUnknown, "claim_unknown"},
      {error::ClaimsUnavailable, "claims_unavailable"},
  };
};

} // namespace arbutus

#endif
