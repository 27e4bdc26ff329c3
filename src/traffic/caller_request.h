#ifndef ARBUTUS_TRAFFIC_CALLER_REQUEST_H
#define ARBUTUS_TRAFFIC_CALLER_REQUEST_H

#include "base/clock.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::traffic {

/// A part of a prompt that other requests may share.
struct prompt_segment {
  std::string Id;
  std::uint64_t Tokens = 0;

  bool operator==(const prompt_segment &) const = default;
};

/// What a caller says about its request, decoded from the site's headers.
struct caller_request {
  /// Names one attempt of the caller; unique in the fleet.
  std::string Id;
  std::string Host;
  /// API key, or empty.
  std::string ApiKey;
  /// How long the caller will wait from now on, if it says so.
  std::optional<duration> Timeout;
  std::string Model;
  std::uint64_t PromptTokens = 0;
  /// Most tokens that may be generated.
  std::uint64_t MaxOutputTokens = 0;
  /// The caller's rough estimate of the tokens to generate, 0 if none.
  std::uint64_t ExpectedOutputTokens = 0;
  /// Parts of the prompt in order; the last belongs to this request alone.
  std::vector<prompt_segment> Prompt;
  /// Headers to pass on to the upstream, those of this connection and those
  /// that only the fleet may set left out.
  net::http_headers ForwardedHeaders;
};

} // namespace arbutus::traffic

#endif
