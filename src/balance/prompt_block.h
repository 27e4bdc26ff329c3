#ifndef ARBUTUS_BALANCE_PROMPT_BLOCK_H
#define ARBUTUS_BALANCE_PROMPT_BLOCK_H

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

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

/// Number of blocks at the end of a prompt that belong to the request itself.
inline constexpr std::size_t OwnBlocks = 1;

/// Identifies the part of a prompt that other requests share: all blocks but
/// the last, which belongs to the request itself. Empty if there is no such
/// part.
[[nodiscard]] inline std::optional<std::uint64_t>
sharedPrefixHash(const std::vector<prompt_block> &Prompt) noexcept {
  return Prompt.size() <= OwnBlocks
             ? std::nullopt
             : std::optional(Prompt[Prompt.size() - OwnBlocks - 1].PrefixHash);
}

/// Tokens of the part of a prompt that other requests share.
[[nodiscard]] inline std::uint64_t
sharedPrefixTokens(const std::vector<prompt_block> &Prompt) noexcept {
  std::uint64_t Tokens = 0;
  for (std::size_t I = 0; I + OwnBlocks < Prompt.size(); ++I) {
    Tokens += Prompt[I].Tokens;
  }
  return Tokens;
}

} // namespace arbutus::balance

#endif
