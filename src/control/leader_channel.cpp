#include "control/leader_channel.h"

#include <utility>

namespace arbutus::control {

namespace {

/// Time after which a request without reply is resent, to the leader known
/// then.
constexpr auto ResendInterval = std::chrono::milliseconds(250);

} // namespace

leader_channel::leader_channel(asio::io_context &Io, send_function Send)
    : PendingRequests(
          Io, ResendInterval,
          [Send = std::move(Send)](std::uint64_t Number,
                                   const pending_request &Pending) {
            auto Request = Pending.Request;
            Request.Number = Number;
            Send(Request);
          },
          [](const pending_request &Pending) {
            Pending.Callback(std::nullopt);
          }) {}

void leader_channel::call(api_request_message Request, duration Timeout,
                          callback Callback) {
  PendingRequests.add({std::move(Request), std::move(Callback)},
                      monotonic_clock::now() + Timeout);
}

void leader_channel::onReply(const api_reply_message &Reply) {
  if (const auto Pending = PendingRequests.extract(Reply.Number)) {
    Pending->Callback(Reply);
  }
}

} // namespace arbutus::control
