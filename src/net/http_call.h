#ifndef ARBUTUS_NET_HTTP_CALL_H
#define ARBUTUS_NET_HTTP_CALL_H

#include "base/clock.h"
#include "net/call_outcome.h"
#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace arbutus::net {

/// One call to an upstream. Callbacks run on the shard's thread, in the order
/// `OnHeaders`, `OnBody` (many times), `OnDone` (exactly once).
struct http_call {
  std::string Method;
  std::string Url;
  http_headers Headers;
  /// Null if there is none. Shared, because calls may repeat a body.
  std::shared_ptr<const std::string> Body;

  /// Uses a connection of its own, which is closed after the call.
  bool FreshConnection = false;

  /// A longer body ends the call with `AnswerBroken`. Streams have no limit:
  /// their bytes are passed on and not kept.
  std::size_t MaxBodyBytes = std::numeric_limits<std::size_t>::max();

  duration ConnectTimeout = 500ms;
  duration Timeout = 60s; ///< for the whole call

  /// Asked when the connection is there, right before the request is written.
  /// False ends the call with `NothingSent`.
  std::function<bool()> MayWrite;
  /// Says whether an answer belongs to this call. A server may send an extra
  /// answer late on a kept connection; such a one is skipped, and the next is
  /// waited for. Every answer belongs to the call when this is empty.
  std::function<bool(const http_headers &)> IsAnswer;
  std::function<void(int Status, const http_headers &)> OnHeaders;
  std::function<void(std::string_view)> OnBody;
  /// The server sent bytes that are no answer, so it is up. `OnDone` follows,
  /// with `SentNoAnswer` or `AnswerBroken`.
  std::function<void()> OnUnreadable;
  std::function<void(call_outcome)> OnDone;
};

} // namespace arbutus::net

#endif
