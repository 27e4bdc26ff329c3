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

/// Data for the headers that are added to an upstream request.
struct upstream_request_info {
  /// The instance that the request is meant for; any other instance must reject
  /// it.
  std::string_view Instance;
  /// The caller's team, or empty.
  std::string_view Team;
  duration Timeout{};
  /// Id of the last event that was forwarded to the caller, to resume a stream
  /// at this upstream. Nothing if no event was forwarded yet; the caller's own
  /// Last-Event-Id header is then left as it is.
  std::optional<std::uint64_t> LastEventId;
};

/// Data from the headers of an upstream's response.
struct upstream_response_info {
  /// The response names the request. One that does not may repeat the response
  /// to an earlier request of the connection.
  bool Identified = false;
  /// True for a success response with the upstream's signature.
  bool SignedSuccess = false;
  /// The upstream guarantees that it did not execute the request. Only in a
  /// response that names the request.
  bool NotRun = false;
  /// Another instance now has this address; the request was not executed.
  bool Misdirected = false;
  /// The upstream has announced that it is shutting down.
  bool Leaving = false;
  /// The upstream refuses the request and wants none from this router for this
  /// long.
  std::optional<duration> RetryAfter;
  /// Requests per second that the upstream takes from the whole fleet, for as
  /// long as its answers say so.
  std::optional<double> RateLimit;
  /// Load of the upstream, if reported.
  std::optional<balance::load_report> Load;
};

/// Parses and builds the request and response headers of one platform. Free
/// functions without state.
struct platform_codec {
  caller_request (*ParseRequest)(const net::http_request &Request) = nullptr;
  /// Adds the fleet's own headers to an upstream request.
  void (*AddUpstreamHeaders)(const upstream_request_info &Info,
                             net::http_headers &Headers) = nullptr;
  /// True if the response belongs to the request with this id.
  bool (*IsResponseTo)(const net::http_headers &Headers,
                       std::string_view RequestId) = nullptr;
  upstream_response_info (*ParseResponseHeaders)(
      int Status, const net::http_headers &Headers, instant Now) = nullptr;
};

} // namespace arbutus::traffic

#endif
