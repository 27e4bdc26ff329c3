#ifndef ARBUTUS_TRAFFIC_PLATFORM_CODEC_H
#define ARBUTUS_TRAFFIC_PLATFORM_CODEC_H

#include "balance/upstream_load.h"
#include "base/clock.h"
#include "net/http_message.h"
#include "traffic/caller_request.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace arbutus::traffic {

/// What an upstream is told about a call beside the caller's own headers.
struct upstream_request_info {
  /// The instance that the call is meant for; another one must refuse it.
  std::string_view Instance;
  /// The caller's team, or empty.
  std::string_view Team;
  duration Timeout{};
  /// Last event that the caller has of a stream that goes on at this upstream;
  /// nothing for a stream from its start, or as the caller asked for it.
  std::optional<std::uint64_t> LastEventId;
};

/// What the headers of an upstream's answer say.
struct upstream_response_info {
  /// True for a success that bears the upstream's signature.
  bool SignedSuccess = false;
  /// The upstream promises that the request did not run.
  bool NotRun = false;
  /// Another instance has the address; the request did not run.
  bool Misdirected = false;
  /// Load at the upstream, if it tells.
  std::optional<balance::load_report> Load;
};

/// How a site writes requests and answers. Free functions, so that the codec
/// has no state.
struct platform_codec {
  caller_request (*ParseRequest)(const net::http_request &Request) = nullptr;
  /// Headers that the fleet adds to a call.
  void (*AddUpstreamHeaders)(const upstream_request_info &Facts,
                             net::http_headers &Headers) = nullptr;
  /// True if an answer belongs to the request with this id.
  bool (*IsResponseTo)(const net::http_headers &Headers,
                       std::string_view RequestId) = nullptr;
  upstream_response_info (*ParseResponseHeaders)(
      int Status, const net::http_headers &Headers, instant Now) = nullptr;
};

} // namespace arbutus::traffic

#endif
