#ifndef ARBUTUS_NET_FRAME_STREAM_H
#define ARBUTUS_NET_FRAME_STREAM_H

#include "base/piece_buffer.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace arbutus::net {

/// Bytes of the length that precedes each frame on a connection,
/// little-endian.
inline constexpr std::size_t FramePrefixBytes = 4;

/// Receives one frame without its length. The bytes are valid during the call
/// only.
using frame_function = std::function<void(std::string_view Frame)>;

/// The part of a connection's bytes that is not yet a whole frame.
struct frame_stream {
  piece_buffer Partial;
};

/// Returns a frame preceded by its length, as a connection carries it. The
/// frame must not exceed `LongestFrameBytes`.
[[nodiscard]] std::string withLength(std::string_view Frame);

/// Takes the next bytes of a connection and passes on the frames that are
/// complete, in order. Returns false when a frame would be longer than
/// `LongestFrameBytes`; the connection then has to be closed.
[[nodiscard]] bool feedFrames(frame_stream &Stream, std::string_view Bytes,
                              const frame_function &OnFrame);

} // namespace arbutus::net

#endif
