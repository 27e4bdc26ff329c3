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

/// `slot_request`: a router asks the owner of a cell which upstream may take a
/// request.
struct slot_request_message {
  /// The router's number of the request.
  std::uint64_t Number = 0;
  std::string Service;
  std::uint32_t Cell = 0;
  std::string Team;
  double Cost = 1;
  std::vector<balance::prompt_block> Prompt;
  std::vector<std::uint32_t> Excluded;
  /// The request is refused if it cannot be sent within this time, in
  /// microseconds. Relative, because clocks differ.
  std::int64_t SendWithin = 0;
  /// Time within which an answer is wanted, in microseconds; 0 for no wish.
  std::int64_t AnswerWithin = 0;

  MSGPACK_DEFINE(Number, Service, Cell, Team, Cost, Prompt, Excluded,
                 SendWithin, AnswerWithin)
};

enum class slot_decision : int {
  Queued = 0,  ///< waits at the owner; another reply follows
  Send = 1,    ///< send it to `Upstream` now
  Refused = 2, ///< no upstream could take it in time
  NotOwner = 3 ///< the receiver does not own the cell
};

/// `slot_reply`: the owner's answer.
struct slot_reply_message {
  std::uint64_t Number = 0;
  slot_decision Decision = slot_decision::Queued;
  std::uint32_t Upstream = 0;
  /// Of a refusal: when the request could be sent at the earliest, from now on,
  /// in microseconds; 0 if that is not known.
  std::int64_t RetryAfter = 0;

  MSGPACK_DEFINE(Number, Decision, Upstream, RetryAfter)
};

enum class slot_event_kind : int {
  FirstByte = 0, ///< the prompt has been read
  Ended = 1,     ///< the slot is free
  Cancelled = 2, ///< the request does not wait any more
  Holds = 3,     ///< the slot is in use; repeated, so that a new owner learns
};

/// What happened to one request.
struct slot_event {
  std::uint64_t Number = 0;
  slot_event_kind Kind = slot_event_kind::Ended;
  balance::upstream_result Health = balance::upstream_result::Ignored;
  std::uint32_t Upstream = 0;

  MSGPACK_DEFINE(Number, Kind, Health, Upstream)
};

/// `slot_events`: a router tells the owner of a cell about its requests.
struct slot_events_message {
  std::string Service;
  std::uint32_t Cell = 0;
  /// True if the events list every slot that the router holds: the owner frees
  /// those that are missing.
  bool Complete = false;
  std::vector<slot_event> Events;

  MSGPACK_DEFINE(Service, Cell, Complete, Events)
};

} // namespace arbutus::traffic

namespace arbutus {

template <> struct name_table<traffic::slot_decision> {
  using decision = traffic::slot_decision;
  static constexpr name_row<decision> Rows[] = {
      {decision::Queued, "queued"},
      {decision::Send, "send"},
      {decision::Refused, "refused"},
      {decision::NotOwner, "not_owner"},
  };
};

template <> struct name_table<traffic::slot_event_kind> {
  using kind = traffic::slot_event_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::FirstByte, "first_byte"},
      {kind::Ended, "ended"},
      {kind::Cancelled, "cancelled"},
      {kind::Holds, "holds"},
  };
};

} // namespace arbutus

MSGPACK_ADD_ENUM(arbutus::traffic::slot_decision)
MSGPACK_ADD_ENUM(arbutus::traffic::slot_event_kind)
MSGPACK_ADD_ENUM(arbutus::balance::upstream_result)

#endif
