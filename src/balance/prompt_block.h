#ifndef ARBUTUS_BALANCE_PROMPT_BLOCK_H
#define ARBUTUS_BALANCE_PROMPT_BLOCK_H

#include <msgpack.hpp>

#include <cstdint>

namespace arbutus::balance {

/// A part of a prompt. Requests that begin with the same parts share what an
/// engine keeps of them.
struct prompt_block {
  /// Hash of the model, this part and all parts before it.
  std::uint64_t Hash = 0;
  std::uint64_t Tokens = 0;

  bool operator==(const prompt_block &) const = default;
  MSGPACK_DEFINE(Hash, Tokens)
};

} // namespace arbutus::balance

#endif
