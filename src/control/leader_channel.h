#ifndef ARBUTUS_CONTROL_LEADER_CHANNEL_H
#define ARBUTUS_CONTROL_LEADER_CHANNEL_H

#include "base/clock.h"
#include "control/messages.h"
#include "net/resend_table.h"

#include <functional>
#include <optional>

namespace arbutus::control {

/// Forwards operators' calls to the leader and repeats them until an answer
/// comes. The operator's request id makes a repeated write harmless. Control
/// thread only.
class leader_channel {
public:
  using send_function = std::function<void(const api_request_message &)>;
  /// The answer, or nothing when none came in time.
  using callback = std::function<void(std::optional<api_reply_message>)>;

  leader_channel(asio::io_context &Io, send_function Send);
  leader_channel(const leader_channel &) = delete;
  leader_channel &operator=(const leader_channel &) = delete;

  void call(api_request_message Call, duration Timeout, callback Callback);
  void onReply(const api_reply_message &Reply);

private:
  struct open_call {
    api_request_message Call;
    callback Callback;
  };

  net::resend_table<open_call> Open;
};

} // namespace arbutus::control

#endif
