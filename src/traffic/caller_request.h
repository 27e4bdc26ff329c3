#ifndef ARBUTUS_TRAFFIC_CALLER_REQUEST_H
#define ARBUTUS_TRAFFIC_CALLER_REQUEST_H

#include "base/clock.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::traffic {

/// A segment of a prompt that other requests may share.
struct prompt_segment {
  std::string Id;
  std::uint64_t Tokens = 0;

  bool operator==(const prompt_segment &) const = default;
};

/// The request of a caller, parsed from the platform's headers.
struct caller_request {
  /// Identifies one attempt of the caller; unique in the fleet.
  std::string Id;
  std::string Host;
  /// API key, or empty.
  std::string ApiKey;
  /// Time that the caller waits for the response, if it sent one.
  std::optional<duration> Timeout;
  std::string Model;
  std::uint64_t PromptTokens = 0;
  /// Maximum number of tokens to generate.
  std::uint64_t MaxOutputTokens = 0;
  /// The caller's estimate of the number of tokens to generate; 0 if none.
  std::uint64_t ExpectedOutputTokens = 0;
  /// Segments of the prompt in order; the last belongs to this request alone.
  std::vector<prompt_segment> Prompt;
  /// Headers to forward to the upstream, without hop-by-hop headers and those
  /// that only the fleet may set.
  net::http_headers ForwardedHeaders;
};

} // namespace arbutus::traffic

#endif
