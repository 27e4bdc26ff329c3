#include "router/claim_client.h"

#include "base/codec.h"
#include <asio/post.hpp>

#include <vector>

namespace arbutus::router {

namespace {

/// Time after which an unanswered command is sent again. It is below an
/// election, so that a new leader is found soon.
constexpr auto ResendAfter = std::chrono::milliseconds(200);

/// Time for which a completion or withdrawal is repeated. It covers the loss
/// of a leader several times over; the session's end settles the rest.
constexpr duration FinishFor = 60s;

} // namespace

claim_client::claim_client(asio::io_context &ControlIo, send_function Send)
    : ControlIo(ControlIo), Timer(ControlIo), Send(std::move(Send)) {}

void claim_client::claim(store::claim_command Claim, instant Deadline,
                         shard &Shard, claim_callback Callback) {
  open_command Command;
  Command.Encoded = encode(store::makeCommand(Claim));
  Command.Deadline = Deadline;
  Command.Shard = &Shard;
  Command.Callback = std::move(Callback);
  Command.Claim = std::move(Claim);
  add(std::move(Command));
}

void claim_client::finish(const store::command &Command) {
  open_command Open;
  Open.Encoded = encode(Command);
  Open.Deadline = monotonic_clock::now() + FinishFor;
  add(std::move(Open));
}

void claim_client::onReply(std::uint64_t Number,
                           const store::command_outcome &Outcome) {
  const auto It = Open.find(Number);
  if (It == Open.end()) {
    return;
  }
  const open_command Command = std::move(It->second);
  Open.erase(It);
  if (Command.Callback) {
    asio::post(Command.Shard->Io,
               [Callback = Command.Callback, Outcome] { Callback(Outcome); });
  }
}

void claim_client::add(open_command Command) {
  asio::post(ControlIo, [this, Command = std::move(Command)]() mutable {
    const std::uint64_t Number = ++LastNumber;
    Send(Number, Command.Encoded);
    Open.emplace(Number, std::move(Command));
    if (!TimerArmed) {
      resend();
    }
  });
}

void claim_client::resend() {
  TimerArmed = true;
  Timer.expires_after(ResendAfter);
  Timer.async_wait([this](const asio::error_code &Error) {
    TimerArmed = false;
    if (Error) {
      return;
    }
    const instant Now = monotonic_clock::now();
    std::vector<open_command> Expired;
    for (auto It = Open.begin(); It != Open.end();) {
      if (It->second.Deadline <= Now) {
        Expired.push_back(std::move(It->second));
        It = Open.erase(It);
        continue;
      }
      Send(It->first, It->second.Encoded);
      ++It;
    }
    for (const auto &Command : Expired) {
      giveUp(Command);
    }
    if (!Open.empty() && !TimerArmed) {
      resend();
    }
  });
}

void claim_client::giveUp(const open_command &Command) {
  if (!Command.Callback) {
    return;
  }
  // The claim may still be recorded later; the withdrawal undoes it.
  if (Command.Claim) {
    finish(store::makeCommand(
        store::withdraw_command{Command.Claim->Key, Command.Claim->Owner}));
  }
  asio::post(Command.Shard->Io,
             [Callback = Command.Callback] { Callback(std::nullopt); });
}

} // namespace arbutus::router
