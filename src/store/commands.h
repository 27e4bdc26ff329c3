#ifndef ARBUTUS_STORE_COMMANDS_H
#define ARBUTUS_STORE_COMMANDS_H

#include "base/codec.h"
#include "base/result.h"
#include "store/msgpack_ids.h"
#include "store/resource.h"
#include "store/tagged_variant.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace arbutus::store {

/// Creates or replaces an object. `ExpectedVersion` is 0 for a creation and
/// the current version for a change.
struct put_command {
  /// Chosen by the operator's client, 1 to 128 bytes; the same for a resend.
  std::string RequestId;
  std::string Name;
  std::uint64_t ExpectedVersion = 0;
  resource_spec Spec;

  MSGPACK_DEFINE(RequestId, Name, ExpectedVersion, Spec)
};

/// Deletes an object that has exactly the expected version.
struct delete_command {
  std::string RequestId;
  object_key Key;
  std::uint64_t ExpectedVersion = 0;

  MSGPACK_DEFINE(RequestId, Key, ExpectedVersion)
};

/// An idempotency key of a caller, in the scope of its team and service.
struct claim_key {
  team_id Team{};
  std::string Service;
  /// The caller's idempotency key, 1 to 256 bytes.
  std::string Key;

  bool operator==(const claim_key &) const = default;
  bool operator<(const claim_key &Other) const noexcept {
    return std::tie(Team, Service, Key) <
           std::tie(Other.Team, Other.Service, Other.Key);
  }
  MSGPACK_DEFINE(Team, Service, Key)
};

/// The request of a router that holds a claim.
struct claim_owner {
  node_id Node{};
  incarnation Incarnation{};
  /// Number of the request at this router, never reused by this incarnation. A
  /// repeated claim with the same attempt is a resend and is granted again.
  std::uint64_t Attempt = 0;

  bool operator==(const claim_owner &) const = default;
  MSGPACK_DEFINE(Node, Incarnation, Attempt)
};

/// Asks for the right to run a request once.
struct claim_command {
  claim_key Key;
  /// Hash of method, path and body, 1 to 64 bytes.
  std::string RequestHash;
  claim_owner Owner;

  MSGPACK_DEFINE(Key, RequestHash, Owner)
};

/// The recorded answer of a claimed request.
struct claim_answer {
  /// HTTP status.
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// True if content type and body were not kept, because of their size.
  bool StatusOnly = false;

  bool operator==(const claim_answer &) const = default;
  MSGPACK_DEFINE(Status, ContentType, Body, StatusOnly)
};

/// Records the answer of a claimed request.
struct complete_command {
  claim_key Key;
  claim_owner Owner;
  claim_answer Answer;

  MSGPACK_DEFINE(Key, Owner, Answer)
};

/// Gives a claim back. Only for a request of which no byte was sent.
struct withdraw_command {
  claim_key Key;
  claim_owner Owner;

  MSGPACK_DEFINE(Key, Owner)
};

/// Closes all incarnations of a node up to the given one: their open claims
/// become unknown, and later claims by them are refused.
struct abandon_command {
  node_id Node{};
  incarnation Incarnation{};

  MSGPACK_DEFINE(Node, Incarnation)
};

/// Makes a node the grantor of a pool. The epoch must be larger than the
/// pool's current one.
struct assign_pool_command {
  pool_id Pool{};
  node_id Grantor{};
  epoch Epoch{};
  /// Life of the node that is appointed; a restarted node is appointed anew.
  incarnation Incarnation{};

  MSGPACK_DEFINE(Pool, Grantor, Epoch, Incarnation)
};

/// Advances log time to `LeaderTimeMs` and drops what has expired.
struct expire_command {
  std::int64_t LeaderTimeMs = 0;

  MSGPACK_DEFINE(LeaderTimeMs)
};

/// Replaces the fleet configuration if its version is higher than the one in
/// force. A configuration that is not higher changes nothing and succeeds, so
/// that a resend is acknowledged again.
struct replace_config_command {
  fleet_config Config;

  MSGPACK_DEFINE(Config)
};

/// Takes a failure domain out of service or back, whatever its state was. A
/// domain that is not known yet is created.
struct set_domain_command {
  std::string Name;
  domain_state State = domain_state::In;

  MSGPACK_DEFINE(Name, State)
};

/// An instance with its name.
struct named_instance {
  std::string Name;
  instance Spec;

  bool operator==(const named_instance &) const = default;
  MSGPACK_DEFINE(Name, Spec)
};

/// Brings the instances up to date with what discovery has found.
struct sync_instances_command {
  std::vector<named_instance> Changed;
  std::vector<std::string> Gone;

  MSGPACK_DEFINE(Changed, Gone)
};

/// Quarantines prompt segments together, from the log time of the command on.
struct quarantine_command {
  std::vector<std::string> Segments;
  std::int64_t DurationMs = 0;

  MSGPACK_DEFINE(Segments, DurationMs)
};

/// Starts to move a service to the upstreams of another version. Repeated, it
/// is acknowledged again while the rollout runs, after it has succeeded, and
/// for `RolloutResendMs` after a rollout began that was rolled back; then it
/// starts another one. While a rollout to another version runs, the outcome is
/// `Conflict`.
struct start_rollout_command {
  std::string Service;
  std::string Target;
  /// Time until the deadline in milliseconds.
  std::int64_t DurationMs = 0;
  double CanaryShare = 0;

  MSGPACK_DEFINE(Service, Target, DurationMs, CanaryShare)
};

/// Time for which operators may send an order again whose answer was lost.
inline constexpr std::int64_t RolloutResendMs = 10'000;
/// Longest time that a rollout may take.
inline constexpr std::int64_t MaxRolloutMs = 7LL * 24 * 3'600 * 1'000;

/// Moves the running rollout of a service to a later phase. The outcome is
/// `Conflict` if the rollout that began at `StartedMs` is not running or is in
/// that phase already.
struct advance_rollout_command {
  std::string Service;
  std::int64_t StartedMs = 0;
  rollout_phase Phase = rollout_phase::Shifting;
  std::string Reason;

  MSGPACK_DEFINE(Service, StartedMs, Phase, Reason)
};

/// Any command; the order of the alternatives is part of the log format.
struct command
    : tagged_variant<put_command, delete_command, claim_command,
                     complete_command, withdraw_command, abandon_command,
                     assign_pool_command, expire_command,
                     replace_config_command, set_domain_command,
                     sync_instances_command, quarantine_command,
                     start_rollout_command, advance_rollout_command> {};

/// The alternatives of a command.
using command_value = decltype(command::Value);

/// Newest version of the format of a log entry that this program reads. An
/// entry is written in the oldest version that has its commands, so that voters
/// of an earlier program read it; an entry that they cannot read stops them.
inline constexpr char BatchVersion = 3;
/// Without commands on rollouts.
inline constexpr char QuarantineBatchVersion = 2;
/// Also without `quarantine_command`.
inline constexpr char FirstBatchVersion = 1;

/// The content of one log entry.
struct batch {
  /// The leader's time in milliseconds. Log time is the largest value seen, so
  /// that a smaller one changes nothing.
  std::int64_t LeaderTimeMs = 0;
  std::vector<command> Commands;

  MSGPACK_DEFINE(LeaderTimeMs, Commands)
};

/// Wraps one command of any type.
template <class T> [[nodiscard]] command makeCommand(T Value) {
  command Wrapped;
  Wrapped.Value = std::move(Value);
  return Wrapped;
}

/// Serializes the content of a log entry, with a format version.
[[nodiscard]] std::string encodeBatch(const batch &Batch);

/// Reads the content of a log entry. Empty input is an empty batch.
[[nodiscard]] result<batch, codec_error> decodeBatch(std::string_view Bytes);

} // namespace arbutus::store

#endif
