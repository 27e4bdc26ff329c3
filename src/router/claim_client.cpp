#include "router/claim_client.h"

#include "base/codec.h"
#include <asio/post.hpp>

#include <utility>

namespace arbutus::router {

namespace {

/// Interval at which a command without a reply is resent. It is shorter than an
/// election, so that the command reaches a new leader soon.
constexpr auto ResendInterval = std::chrono::milliseconds(200);

/// Time for which a completion or withdrawal is resent. It covers the loss of
/// several leaders in a row. Claims that are still held after that are settled
/// when the session of this node ends.
constexpr duration ResultResendPeriod = 60s;

} // namespace

claim_client::claim_client(asio::io_context &ControlIo, send_function Send)
    : ControlIo(ControlIo),
      Pending(
          ControlIo, ResendInterval,
          [Send = std::move(Send)](std::uint64_t Number,
                                   const pending_command &Command) {
            Send(Number, Command.Encoded);
          },
          [this](const pending_command &Command) {
            onCommandTimeout(Command);
          }) {}

void claim_client::claim(store::claim_command Claim, instant Deadline,
                         shard &Shard, claim_callback Callback) {
  pending_command Command;
  Command.Encoded = encode(store::makeCommand(Claim));
  Command.Deadline = Deadline;
  Command.Shard = &Shard;
  Command.Callback = std::move(Callback);
  Command.Claim = std::move(Claim);
  add(std::move(Command));
}

void claim_client::submitResult(const store::command &Command) {
  pending_command Entry;
  Entry.Encoded = encode(Command);
  Entry.Deadline = monotonic_clock::now() + ResultResendPeriod;
  add(std::move(Entry));
}

void claim_client::onReply(std::uint64_t Number,
                           const store::command_outcome &Outcome) {
  const auto Command = Pending.extract(Number);
  if (Command && Command->Callback) {
    asio::post(Command->Shard->Io,
               [Callback = Command->Callback, Outcome] { Callback(Outcome); });
  }
}

void claim_client::add(pending_command Command) {
  asio::post(ControlIo, [this, Command = std::move(Command)]() mutable {
    const instant Deadline = Command.Deadline;
    Pending.add(std::move(Command), Deadline);
  });
}

void claim_client::onCommandTimeout(const pending_command &Command) {
  if (!Command.Callback) {
    return;
  }
  // The leader may still record the claim later; the withdrawal reverts that.
  if (Command.Claim) {
    submitResult(store::makeCommand(
        store::withdraw_command{Command.Claim->Key, Command.Claim->Owner}));
  }
  asio::post(Command.Shard->Io,
             [Callback = Command.Callback] { Callback(std::nullopt); });
}

} // namespace arbutus::router
