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
            Send(std::move(Request), Pending.Times);
          },
          [](const pending_request &Pending) {
            Pending.Callback(std::nullopt);
          }) {}

void leader_channel::call(api_request_message Request,
                          const request_times &Times, callback Callback) {
  PendingRequests.add({std::move(Request), Times, std::move(Callback)},
                      Times.Deadline);
}

void leader_channel::onReply(const api_reply_message &Reply) {
  if (const auto Pending = PendingRequests.extract(Reply.Number)) {
    Pending->Callback(Reply);
  }
}

} // namespace arbutus::control
