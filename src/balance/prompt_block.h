#ifndef ARBUTUS_BALANCE_PROMPT_BLOCK_H
#define ARBUTUS_BALANCE_PROMPT_BLOCK_H

#include <msgpack.hpp>

#include <cstdint>

namespace arbutus::balance {

/// A block of a prompt. Requests that begin with the same blocks share the
/// engine's cached state for them.
struct prompt_block {
  /// Hash of the model, this block and all blocks before it.
  std::uint64_t PrefixHash = 0;
  std::uint64_t Tokens = 0;

  bool operator==(const prompt_block &) const = default;
  MSGPACK_DEFINE(PrefixHash, Tokens)
};

} // namespace arbutus::balance

#endif
