#include "router/claim_client.h"

#include "base/codec.h"
#include <asio/post.hpp>

#include <utility>

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
    : ControlIo(ControlIo),
      Open(
          ControlIo, ResendAfter,
          [Send = std::move(Send)](std::uint64_t Number,
                                   const open_command &Command) {
            Send(Number, Command.Encoded);
          },
          [this](const open_command &Command) { giveUp(Command); }) {}

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
  const auto Command = Open.extract(Number);
  if (Command && Command->Callback) {
    asio::post(Command->Shard->Io,
               [Callback = Command->Callback, Outcome] { Callback(Outcome); });
  }
}

void claim_client::add(open_command Command) {
  asio::post(ControlIo, [this, Command = std::move(Command)]() mutable {
    const instant Deadline = Command.Deadline;
    Open.add(std::move(Command), Deadline);
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
