#include "net/frame_stream.h"

#include "net/mesh_frame.h"

#include <cstdint>

namespace arbutus::net {

namespace {

constexpr unsigned BitsPerByte = 8;

std::size_t lengthOf(std::string_view Prefix) noexcept {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < FramePrefixBytes; ++I) {
    const auto Byte = static_cast<unsigned char>(Prefix[I]);
    Length |= static_cast<std::size_t>(Byte) << (BitsPerByte * I);
  }
  return Length;
}

} // namespace

std::string withLength(std::string_view Frame) {
  std::string Bytes;
  Bytes.reserve(FramePrefixBytes + Frame.size());
  for (std::size_t I = 0; I < FramePrefixBytes; ++I) {
    Bytes.push_back(static_cast<char>(Frame.size() >> (BitsPerByte * I)));
  }
  Bytes.append(Frame);
  return Bytes;
}

bool feedFrames(frame_stream &Stream, std::string_view Bytes,
                const frame_function &OnFrame) {
  const std::string_view Joined = Stream.Partial.join(Bytes);
  std::string_view Rest = Joined;
  while (Rest.size() >= FramePrefixBytes) {
    const std::size_t Length = lengthOf(Rest);
    if (Length > LongestFrameBytes) {
      Stream.Partial.clear();
      return false;
    }
    if (Rest.size() < FramePrefixBytes + Length) {
      break;
    }
    OnFrame(Rest.substr(FramePrefixBytes, Length));
    Rest.remove_prefix(FramePrefixBytes + Length);
  }
  Stream.Partial.keepAfter(Joined.size() - Rest.size());
  return true;
}

} // namespace arbutus::net
