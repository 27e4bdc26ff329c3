#ifndef ARBUTUS_NET_MESH_FRAME_H
#define ARBUTUS_NET_MESH_FRAME_H

#include "base/ids.h"
#include "base/result.h"
#include "net/mesh_counters.h"
#include "net/message_kind.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::net {

/// First byte of every frame. Frames of other versions are dropped.
inline constexpr std::uint8_t FrameVersion = 1;
/// Bounds the memory that one frame takes at the receiver.
inline constexpr std::size_t LongestFrameBytes = std::size_t{8} << 20U;
/// Version 1, kind 1, sender 4, receiver 4, incarnation 8, sequence 8 and
/// payload length 4 bytes, all little-endian.
inline constexpr std::size_t FrameHeaderBytes = 30;
inline constexpr std::size_t FrameMacBytes = 16;
inline constexpr std::size_t FrameOverheadBytes =
    FrameHeaderBytes + FrameMacBytes;
inline constexpr std::size_t LongestPayloadBytes =
    LongestFrameBytes - FrameOverheadBytes;

/// Who sends what to whom. Layout on the wire: header, payload, and the first
/// 16 bytes of an HMAC-SHA256 over both under the fleet key.
struct frame_header {
  message_kind Kind{};
  node_id Sender{};
  /// Guards against an address that the platform gives to another VM: a frame
  /// for its former holder is authentic, but not meant for the new one.
  node_id Receiver{};
  incarnation Incarnation{};
  /// Grows with each frame from `Sender` to `Receiver` in one incarnation.
  std::uint64_t Sequence = 0;

  friend bool operator==(const frame_header &, const frame_header &) = default;
};

/// A frame that passed all checks; `Payload` points into the parsed bytes.
struct parsed_frame {
  frame_header Header;
  std::string_view Payload;
};

/// Builds a frame. The payload must not exceed `LongestPayloadBytes`.
[[nodiscard]] std::string buildFrame(const frame_header &Header,
                                     std::string_view Payload,
                                     std::string_view Key);

/// Checks version, length, sender, MAC, kind and receiver, in this order, and
/// returns the first fault. An authentic frame of an unknown kind comes from a
/// newer release and counts as a wrong version.
[[nodiscard]] result<parsed_frame, mesh_drop>
parseFrame(std::string_view Bytes, node_id Self, std::string_view Key);

} // namespace arbutus::net

#endif
