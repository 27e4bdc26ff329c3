#ifndef ARBUTUS_NET_MESSAGE_KIND_H
#define ARBUTUS_NET_MESSAGE_KIND_H

#include "base/name_table.h"

#include <cstddef>
#include <cstdint>

namespace arbutus::net {

/// What a mesh frame carries. The numbers are part of the wire format.
enum class message_kind : std::uint8_t {
  Raft = 1,
  Heartbeat = 2,
  HeartbeatReply = 3,
  ConfigUpdate = 4,
  PoolReport = 5,
  PoolGrant = 6,
  ClaimRequest = 7,
  ClaimReply = 8,
  ClaimDone = 9,
  ApiRequest = 10,
  ApiReply = 11,
  SlotRequest = 12,
  SlotReply = 13,
  SlotEvents = 14,
};

/// Size of an array that is indexed by the number of a message kind.
inline constexpr std::size_t MessageKindSlots = 15;

} // namespace arbutus::net

namespace arbutus {

template <> struct name_table<net::message_kind> {
  using kind = net::message_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::Raft, "raft"},
      {kind::Heartbeat, "heartbeat"},
      {kind::HeartbeatReply, "heartbeat_reply"},
      {kind::ConfigUpdate, "config_update"},
      {kind::PoolReport, "pool_report"},
      {kind::PoolGrant, "pool_grant"},
      {kind::ClaimRequest, "claim_request"},
      {kind::ClaimReply, "claim_reply"},
      {kind::ClaimDone, "claim_done"},
      {kind::ApiRequest, "api_request"},
      {kind::ApiReply, "api_reply"},
      {kind::SlotRequest, "slot_request"},
      {kind::SlotReply, "slot_reply"},
      {kind::SlotEvents, "slot_events"},
  };
};

} // namespace arbutus

#endif
