#ifndef ARBUTUS_ROUTER_CLAIM_CLIENT_H
#define ARBUTUS_ROUTER_CLAIM_CLIENT_H

#include "base/clock.h"
#include "base/ids.h"
#include "net/resend_table.h"
#include "router/shard.h"
#include "store/commands.h"
#include "store/outcome.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace arbutus::router {

/// Sends claim commands to the control leader and resends them until it
/// replies. Commands are idempotent, so resending them is safe.
class claim_client {
public:
  /// Sends an encoded command to the last known leader. Delivery is not
  /// guaranteed. `Number` identifies the command in `onReply`. Called on the
  /// control thread.
  using send_function =
      std::function<void(std::uint64_t Number, const std::string &Command)>;
  using claim_callback =
      std::function<void(std::optional<store::command_outcome>)>;

  claim_client(asio::io_context &ControlIo, send_function Send);
  claim_client(const claim_client &) = delete;
  claim_client &operator=(const claim_client &) = delete;

  /// Submits a claim. `Callback` runs on `Shard` with the outcome, or with
  /// nothing if no reply came before the deadline; the claim is then withdrawn.
  void claim(store::claim_command Claim, instant Deadline, shard &Shard,
             claim_callback Callback);

  /// Submits a completion or withdrawal. It is resent until it is acknowledged,
  /// for at most 60 s.
  void submitResult(const store::command &Command);

  /// Handles the leader's reply to a command. Called on the control thread.
  void onReply(std::uint64_t Number, const store::command_outcome &Outcome);

  /// Returns the number of commands without a reply. Called on the control
  /// thread.
  [[nodiscard]] std::size_t pending() const noexcept { return Pending.size(); }

private:
  struct pending_command {
    std::string Encoded;
    instant Deadline;
    shard *Shard = nullptr;
    claim_callback Callback;
    std::optional<store::claim_command> Claim;
  };

  void add(pending_command Command);
  void onCommandTimeout(const pending_command &Command);

  asio::io_context &ControlIo;
  net::resend_table<pending_command> Pending;
};

} // namespace arbutus::router

#endif
