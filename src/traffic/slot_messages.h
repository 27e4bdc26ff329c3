#ifndef ARBUTUS_TRAFFIC_SLOT_MESSAGES_H
#define ARBUTUS_TRAFFIC_SLOT_MESSAGES_H

#include "balance/prompt_block.h"
#include "balance/request_scheduler.h"
#include "base/name_table.h"
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::traffic {

/// `slot_request`: a router asks a cell owner for a slot for one request.
struct slot_request_message {
  /// Chosen by the sending router; unique across its incarnations.
  std::uint64_t RequestNumber = 0;
  std::string Service;
  std::uint32_t Cell = 0;
  std::string Team;
  double Cost = 1;
  std::vector<balance::prompt_block> Prompt;
  std::vector<std::uint32_t> Excluded;
  /// The request is refused if it cannot be sent within this time. Relative,
  /// because the clocks of nodes differ.
  std::int64_t DispatchTimeoutUs = 0;
  /// Time within which the caller wants the response; 0 if there is no target.
  std::int64_t ResponseTargetUs = 0;

  MSGPACK_DEFINE(RequestNumber, Service, Cell, Team, Cost, Prompt, Excluded,
                 DispatchTimeoutUs, ResponseTargetUs)
};

enum class slot_decision : int {
  Queued = 0,  ///< queued at the owner; another reply follows
  Granted = 1, ///< the request may be sent to `Upstream` now
  Refused = 2, ///< no slot would be available in time
  NotOwner = 3 ///< the receiver does not own the cell
};

/// Why a request gets no slot.
enum class refusal_reason : int {
  Unknown = 0,   ///< no reply of the owner, or a reply of an older version
  QueueFull = 1, ///< the queue of the team is too long
  Expired = 2    ///< queued, and no slot became available in time
};

/// `slot_reply`: the cell owner's reply to a slot request.
struct slot_reply_message {
  std::uint64_t RequestNumber = 0;
  slot_decision Decision = slot_decision::Queued;
  std::uint32_t Upstream = 0;
  /// Only for `Refused`: time after which a new attempt may succeed; 0 if
  /// unknown.
  std::int64_t RetryAfterUs = 0;
  /// Share of the cell's upstreams without capacity, 0 to 1.
  double BusyShare = 0;
  /// Only for `Refused`.
  refusal_reason Reason = refusal_reason::Unknown;
  /// Only for `Expired`: the busy upstream that the request was queued for; 0
  /// if none could take requests.
  std::uint32_t Preferred = 0;

  MSGPACK_DEFINE(RequestNumber, Decision, Upstream, RetryAfterUs, BusyShare,
                 Reason, Preferred)
};

enum class slot_event_kind : int {
  FirstByte = 0, ///< the upstream has processed the prompt
  Ended = 1,     ///< the slot is released
  Cancelled = 2, ///< the request no longer waits
  InUse = 3,     ///< the slot is in use; sent repeatedly to inform a new owner
};

/// A rate limit in a message: requests per second, `NoRateLimit` or
/// `UnknownRateLimit`.
constexpr double NoRateLimit = -1;      ///< the answer names none
constexpr double UnknownRateLimit = -2; ///< no answer has arrived

/// An event of one request.
struct slot_event {
  std::uint64_t RequestNumber = 0;
  slot_event_kind Kind = slot_event_kind::Ended;
  balance::upstream_result Result = balance::upstream_result::Ignored;
  std::uint32_t Upstream = 0;
  /// The rate limit that the answer names.
  double RateLimit = UnknownRateLimit;

  MSGPACK_DEFINE(RequestNumber, Kind, Result, Upstream, RateLimit)
};

/// The rate limit that an upstream has named to a router.
struct named_rate_limit {
  std::uint32_t Upstream = 0;
  double PerSecond = NoRateLimit;
  /// Time since the answer. Relative, because the clocks of nodes differ.
  std::int64_t AgeUs = 0;

  MSGPACK_DEFINE(Upstream, PerSecond, AgeUs)
};

/// `slot_events`: a router informs a cell owner about its requests.
struct slot_events_message {
  std::string Service;
  std::uint32_t Cell = 0;
  /// True if `Events` lists all requests of the router in this cell. The owner
  /// releases those that are not listed.
  bool FullSnapshot = false;
  std::vector<slot_event> Events;
  /// Only in a snapshot: the rate limits that the router knows, so that a new
  /// owner keeps them.
  std::vector<named_rate_limit> RateLimits;

  MSGPACK_DEFINE(Service, Cell, FullSnapshot, Events, RateLimits)
};

} // namespace arbutus::traffic

namespace arbutus {

template <> struct name_table<traffic::slot_decision> {
  using decision = traffic::slot_decision;
  static constexpr name_row<decision> Rows[] = {
      {decision::Queued, "queued"},
      {decision::Granted, "send"},
      {decision::Refused, "refused"},
      {decision::NotOwner, "not_owner"},
  };
};

template <> struct name_table<traffic::refusal_reason> {
  using reason = traffic::refusal_reason;
  static constexpr name_row<reason> Rows[] = {
      {reason::Unknown, "unknown"},
      {reason::QueueFull, "queue_full"},
      {reason::Expired, "expired"},
  };
};

template <> struct name_table<traffic::slot_event_kind> {
  using kind = traffic::slot_event_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::FirstByte, "first_byte"},
      {kind::Ended, "ended"},
      {kind::Cancelled, "cancelled"},
      {kind::InUse, "holds"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::traffic::slot_decision)
MSGPACK_ADD_ENUM(arbutus::traffic::refusal_reason)
MSGPACK_ADD_ENUM(arbutus::traffic::slot_event_kind)
MSGPACK_ADD_ENUM(arbutus::balance::upstream_result)

#endif
