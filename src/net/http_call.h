#ifndef ARBUTUS_NET_HTTP_CALL_H
#define ARBUTUS_NET_HTTP_CALL_H

#include "base/clock.h"
#include "net/call_outcome.h"
#include "net/http_message.h"

#include <functional>
#include <string>
#include <string_view>

namespace arbutus::net {

/// One call to an upstream. Callbacks run on the shard's thread, in the order
/// `OnHeaders`, `OnBody` (many times), `OnDone` (exactly once).
struct http_call {
  std::string Method;
  std::string Url;
  http_headers Headers;
  std::string Body;

  /// Uses a connection of its own. libcurl sends a request again by itself
  /// when a reused connection closes before the answer's first byte, which
  /// would run a non-idempotent request twice.
  bool FreshConnection = false;

  duration ConnectTimeout = 500ms;
  duration Timeout = 60s; ///< for the whole call

  std::function<void(int Status, const http_headers &)> OnHeaders;
  std::function<void(std::string_view)> OnBody;
  std::function<void(call_outcome)> OnDone;
};

} // namespace arbutus::net

#endif
