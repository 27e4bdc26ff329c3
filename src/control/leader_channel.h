#ifndef ARBUTUS_CONTROL_LEADER_CHANNEL_H
#define ARBUTUS_CONTROL_LEADER_CHANNEL_H

#include "base/clock.h"
#include "control/messages.h"
#include "net/resend_table.h"

#include <functional>
#include <optional>

namespace arbutus::control {

/// When an admin request arrived and when its sender stops waiting, on this
/// node's monotonic clock.
struct request_times {
  /// A lower bound: the request may have waited while this process was frozen.
  instant ReceivedAt;
  instant Deadline;
};

/// Forwards admin requests to the leader and resends them until the reply
/// arrives. The request id makes a repeated write idempotent. Control thread
/// only.
class leader_channel {
public:
  using send_function =
      std::function<void(api_request_message, const request_times &)>;
  /// Gets the reply, or nothing after the timeout.
  using callback = std::function<void(std::optional<api_reply_message>)>;

  leader_channel(asio::io_context &Io, send_function Send);
  leader_channel(const leader_channel &) = delete;
  leader_channel &operator=(const leader_channel &) = delete;

  void call(api_request_message Request, const request_times &Times,
            callback Callback);
  void onReply(const api_reply_message &Reply);

private:
  struct pending_request {
    api_request_message Request;
    request_times Times;
    callback Callback;
  };

  net::resend_table<pending_request> PendingRequests;
};

} // namespace arbutus::control

#endif
