#include "control/leader_channel.h"

#include <utility>

namespace arbutus::control {

namespace {

/// Time after which an unanswered call is sent again, perhaps to a new leader.
constexpr auto ResendAfter = std::chrono::milliseconds(250);

} // namespace

leader_channel::leader_channel(asio::io_context &Io, send_function Send)
    : Open(
          Io, ResendAfter,
          [Send = std::move(Send)](std::uint64_t Number,
                                   const open_call &Message) {
            auto Call = Message.Call;
            Call.Number = Number;
            Send(Call);
          },
          [](const open_call &Message) { Message.Callback(std::nullopt); }) {}

void leader_channel::call(api_request_message Call, duration Timeout,
                          callback Callback) {
  Open.add({std::move(Call), std::move(Callback)},
           monotonic_clock::now() + Timeout);
}

void leader_channel::onReply(const api_reply_message &Reply) {
  if (const auto Answered = Open.extract(Reply.Number)) {
    Answered->Callback(Reply);
  }
}

} // namespace arbutus::control
