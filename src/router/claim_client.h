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

/// Sends claim commands to the control leader and repeats them until they are
/// answered. Commands are idempotent, so a repeated one does no harm.
class claim_client {
public:
  /// `Send` passes an encoded command under a number to the leader as far as
  /// it is known; delivery is not promised. It is called on the control
  /// thread, as are `onReply` and the timers.
  using send_function =
      std::function<void(std::uint64_t Number, const std::string &Command)>;
  using claim_callback =
      std::function<void(std::optional<store::command_outcome>)>;

  claim_client(asio::io_context &ControlIo, send_function Send);
  claim_client(const claim_client &) = delete;
  claim_client &operator=(const claim_client &) = delete;

  /// Asks for a claim. `Callback` follows on `Shard`: the outcome, or nothing
  /// when none came until the deadline; the claim is then withdrawn.
  void claim(store::claim_command Claim, instant Deadline, shard &Shard,
             claim_callback Callback);

  /// Records an answer or a withdrawal; repeated until it is acknowledged.
  void finish(const store::command &Command);

  /// Takes the leader's answer. Control thread.
  void onReply(std::uint64_t Number, const store::command_outcome &Outcome);

  /// Commands without an answer so far. Control thread.
  [[nodiscard]] std::size_t pending() const noexcept { return Open.size(); }

private:
  struct open_command {
    std::string Encoded;
    instant Deadline;
    shard *Shard = nullptr;
    claim_callback Callback;
    std::optional<store::claim_command> Claim;
  };

  void add(open_command Command);
  void giveUp(const open_command &Command);

  asio::io_context &ControlIo;
  net::resend_table<open_command> Open;
};

} // namespace arbutus::router

#endif
