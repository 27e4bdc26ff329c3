#ifndef ARBUTUS_BASE_CODEC_H
#define ARBUTUS_BASE_CODEC_H

#include "base/name_table.h"
#include "base/result.h"
#include <msgpack.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace arbutus {

enum class codec_error { Malformed, TrailingBytes, TooLarge };

template <> struct name_table<codec_error> {
  static constexpr name_row<codec_error> Rows[] = {
      {codec_error::Malformed, "malformed"},
      {codec_error::TrailingBytes, "trailing_bytes"},
      {codec_error::TooLarge, "too_large"},
  };
};

/// Encodes a value of a type that has MSGPACK_DEFINE.
template <class T> [[nodiscard]] std::string encode(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes one value that must fill the input exactly. Returns an error instead
/// of throwing on malformed input. Container sizes are limited to the length of
/// the input, so that a forged length cannot exhaust memory.
template <class T>
[[nodiscard]] result<T, codec_error> decode(std::string_view Bytes) {
  try {
    const auto MaxSize = Bytes.size();
    const msgpack::unpack_limit Limit(MaxSize, MaxSize, MaxSize, MaxSize,
                                      MaxSize, 32);
    std::size_t Offset = 0;
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset,
                                        nullptr, nullptr, Limit);
    if (Offset != Bytes.size()) {
      return codec_error::TrailingBytes;
    }
    return Handle.get().as<T>();
  } catch (const std::exception &) {
    return codec_error::Malformed;
  }
}

/// True if what a message is decoded into fits the memory for it, twice that
/// of a JSON text. A byte of a message may become a structure of over 100
/// bytes. Logs a message that does not fit.
[[nodiscard]] bool fitsMemory(std::string_view Bytes);

/// Decodes a message of another process. Entries of the log are decoded without
/// the limit, which is of this VM: all voters must read the same from them.
template <class T>
[[nodiscard]] result<T, codec_error> decodeMessage(std::string_view Bytes) {
  if (!fitsMemory(Bytes)) {
    return codec_error::TooLarge;
  }
  return decode<T>(Bytes);
}

} // namespace arbutus

#endif
