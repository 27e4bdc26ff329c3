#include "consensus/message.h"

#include <cstddef>
#include <utility>

namespace arbutus::consensus {
namespace {

template <std::size_t... Kinds>
bool unpackBody(std::size_t Kind, const msgpack::object &In, message_body &Body,
                std::index_sequence<Kinds...> /*AllKinds*/) {
  return (
      (Kinds == Kind
           ? (Body = In.as<std::variant_alternative_t<Kinds, message_body>>(),
              true)
           : false) ||
      ...);
}

} // namespace

void message::msgpack_unpack(const msgpack::object &In) {
  if (In.type != msgpack::type::ARRAY || In.via.array.size != 5) {
    throw msgpack::type_error();
  }
  const auto *Parts = In.via.array.ptr;
  From = Parts[0].as<std::uint32_t>();
  To = Parts[1].as<std::uint32_t>();
  Term = Parts[2].as<std::uint64_t>();
  constexpr auto Count = std::variant_size_v<message_body>;
  if (!unpackBody(Parts[3].as<std::uint8_t>(), Parts[4], Body,
                  std::make_index_sequence<Count>())) {
    throw msgpack::type_error();
  }
}

} // namespace arbutus::consensus
