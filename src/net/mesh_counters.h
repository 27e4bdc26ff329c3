#ifndef ARBUTUS_NET_MESH_COUNTERS_H
#define ARBUTUS_NET_MESH_COUNTERS_H

#include "base/name_table.h"
#include "net/message_kind.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace arbutus::net {

/// Why a frame was dropped, at the sender or at the receiver.
enum class mesh_drop {
  Version,
  Length,
  Sender,
  Mac,
  /// Authentic, but meant for another node: the address was reused.
  Receiver,
  ReplayedOrOldIncarnation,
  QueueFull,
  UnknownPeer,
  Cut,
};

inline constexpr std::size_t MeshDropCount = 9;

/// Frames and bytes (whole frames, with header and MAC) of one kind.
struct kind_counters {
  std::uint64_t FramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
};

/// Totals since the mesh started. A frame counts as sent once it is queued.
struct mesh_counters {
  std::array<kind_counters, MessageKindSlots> Kinds{};
  std::array<std::uint64_t, MeshDropCount> Drops{};

  [[nodiscard]] const kind_counters &of(message_kind Kind) const noexcept {
    return Kinds[static_cast<std::size_t>(Kind)];
  }
  [[nodiscard]] std::uint64_t of(mesh_drop Drop) const noexcept {
    return Drops[static_cast<std::size_t>(Drop)];
  }
};

} // namespace arbutus::net

namespace arbutus {

template <> struct name_table<net::mesh_drop> {
  using drop = net::mesh_drop;
  static constexpr name_row<drop> Rows[] = {
      {drop::Version, "version"},
      {drop::Length, "length"},
      {drop::Sender, "sender"},
      {drop::Mac, "mac"},
      {drop::Receiver, "receiver"},
      {drop::ReplayedOrOldIncarnation, "replayed_or_old_incarnation"},
      {drop::QueueFull, "queue_full"},
      {drop::UnknownPeer, "unknown_peer"},
      {drop::Cut, "cut"},
  };
};

} // namespace arbutus

#endif
