#include "control/leader_channel.h"

#include <vector>

namespace arbutus::control {

namespace {

/// Time after which an unanswered call is sent again, perhaps to a new leader.
constexpr auto ResendAfter = std::chrono::milliseconds(250);

} // namespace

leader_channel::leader_channel(asio::io_context &Io, send_function Send)
    : Timer(Io), Send(std::move(Send)) {}

void leader_channel::call(api_request_message Call, duration Timeout,
                          callback Callback) {
  Call.Number = ++LastNumber;
  Send(Call);
  const std::uint64_t Number = Call.Number;
  Open.emplace(Number,
               open_call{std::move(Call), monotonic_clock::now() + Timeout,
                         std::move(Callback)});
  armTimer();
}

void leader_channel::onReply(const api_reply_message &Reply) {
  const auto It = Open.find(Reply.Number);
  if (It == Open.end()) {
    return;
  }
  const auto Callback = std::move(It->second.Callback);
  Open.erase(It);
  Callback(Reply);
}

void leader_channel::armTimer() {
  if (TimerArmed || Open.empty()) {
    return;
  }
  TimerArmed = true;
  Timer.expires_after(ResendAfter);
  Timer.async_wait([this](const asio::error_code &Error) {
    TimerArmed = false;
    if (Error) {
      return;
    }
    const instant Now = monotonic_clock::now();
    std::vector<callback> Expired;
    for (auto It = Open.begin(); It != Open.end();) {
      if (It->second.Deadline <= Now) {
        Expired.push_back(std::move(It->second.Callback));
        It = Open.erase(It);
      } else {
        Send(It->second.Call);
        ++It;
      }
    }
    for (const auto &Callback : Expired) {
      Callback(std::nullopt);
    }
    armTimer();
  });
}

} // namespace arbutus::control
