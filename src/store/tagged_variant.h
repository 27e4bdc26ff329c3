#ifndef ARBUTUS_STORE_TAGGED_VARIANT_H
#define ARBUTUS_STORE_TAGGED_VARIANT_H

#include <msgpack.hpp>

#include <cstddef>
#include <utility>
#include <variant>

namespace arbutus::store {

/// A variant that is serialized as `[index of the alternative, value]`. The
/// order of the alternatives is part of the serialized form.
template <class... Alternatives> struct tagged_variant {
  std::variant<Alternatives...> Value;

  bool operator==(const tagged_variant &) const = default;

  template <class Packer> void msgpack_pack(Packer &Out) const { // NOLINT
    Out.pack_array(2);
    Out.pack(Value.index());
    std::visit([&Out](const auto &Held) { Out.pack(Held); }, Value);
  }

  void msgpack_unpack(const msgpack::object &In) { // NOLINT
    if (In.type != msgpack::type::ARRAY || In.via.array.size != 2) {
      throw msgpack::type_error();
    }
    const auto Index = In.via.array.ptr[0].as<std::size_t>();
    if (!select(Index, In.via.array.ptr[1],
                std::index_sequence_for<Alternatives...>())) {
      throw msgpack::type_error();
    }
  }

private:
  template <std::size_t... Is>
  bool select(std::size_t Index, const msgpack::object &In,
              std::index_sequence<Is...> /*All*/) {
    return ((Index == Is && (In.convert(Value.template emplace<Is>()), true)) ||
            ...);
  }
};

} // namespace arbutus::store

#endif
