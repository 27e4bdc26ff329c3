#include "net/mesh_frame.h"

#include "base/digest.h"

namespace arbutus::net {

namespace {

template <class Integer> void append(std::string &Bytes, Integer Value) {
  for (std::size_t I = 0; I < sizeof(Integer); ++I) {
    Bytes += static_cast<char>(static_cast<std::uint64_t>(Value) >> (8 * I));
  }
}

/// Takes an integer from the front; the caller has checked the length.
template <class Integer> Integer take(std::string_view &Bytes) noexcept {
  std::uint64_t Value = 0;
  for (std::size_t I = 0; I < sizeof(Integer); ++I) {
    Value |= static_cast<std::uint64_t>(static_cast<unsigned char>(Bytes[I]))
             << (8 * I);
  }
  Bytes.remove_prefix(sizeof(Integer));
  return static_cast<Integer>(Value);
}

std::string_view view(const message_mac &Mac) noexcept {
  return {reinterpret_cast<const char *>(Mac.data()), Mac.size()};
}

} // namespace

std::string buildFrame(const frame_header &Header, std::string_view Payload,
                       std::string_view Key) {
  std::string Bytes;
  Bytes.reserve(FrameOverheadBytes + Payload.size());
  append(Bytes, FrameVersion);
  append(Bytes, static_cast<std::uint8_t>(Header.Kind));
  append(Bytes, number(Header.Sender));
  append(Bytes, number(Header.Receiver));
  append(Bytes, number(Header.Incarnation));
  append(Bytes, Header.Sequence);
  append(Bytes, static_cast<std::uint32_t>(Payload.size()));
  Bytes += Payload;
  Bytes += view(hmac(Key, Bytes));
  return Bytes;
}

result<parsed_frame, mesh_drop> parseFrame(std::string_view Bytes, node_id Self,
                                           std::string_view Key) {
  if (Bytes.empty()) {
    return mesh_drop::Length;
  }
  if (static_cast<std::uint8_t>(Bytes.front()) != FrameVersion) {
    return mesh_drop::Version;
  }
  if (Bytes.size() < FrameOverheadBytes || Bytes.size() > LongestFrameBytes) {
    return mesh_drop::Length;
  }
  auto Rest = Bytes.substr(1);
  parsed_frame Frame;
  Frame.Header.Kind = static_cast<message_kind>(take<std::uint8_t>(Rest));
  Frame.Header.Sender = node_id{take<std::uint32_t>(Rest)};
  Frame.Header.Receiver = node_id{take<std::uint32_t>(Rest)};
  Frame.Header.Incarnation = incarnation{take<std::uint64_t>(Rest)};
  Frame.Header.Sequence = take<std::uint64_t>(Rest);
  const std::size_t Length = take<std::uint32_t>(Rest);
  if (Length != Rest.size() - FrameMacBytes) {
    return mesh_drop::Length;
  }
  Frame.Payload = Rest.substr(0, Length);
  if (Frame.Header.Sender == Self || number(Frame.Header.Sender) == 0) {
    return mesh_drop::Sender;
  }
  const auto Mac = hmac(Key, Bytes.substr(0, Bytes.size() - FrameMacBytes));
  if (!equalConstantTime(Rest.substr(Length), view(Mac))) {
    return mesh_drop::Mac;
  }
  if (nameOf(Frame.Header.Kind) == "invalid") {
    return mesh_drop::Version;
  }
  if (Frame.Header.Receiver != Self) {
    return mesh_drop::Receiver;
  }
  return Frame;
}

} // namespace arbutus::net
