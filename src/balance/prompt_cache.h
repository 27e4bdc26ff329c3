#ifndef ARBUTUS_BALANCE_PROMPT_CACHE_H
#define ARBUTUS_BALANCE_PROMPT_CACHE_H

#include "balance/queued_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace arbutus::balance {

/// Model of an engine's prompt cache: the blocks that were sent to it, evicted
/// least recently used first. This is an estimate; the eviction order of the
/// engine may differ.
class prompt_cache {
public:
  prompt_cache() = default;
  /// Not copyable: the index holds iterators into the list.
  prompt_cache(const prompt_cache &) = delete;
  prompt_cache &operator=(const prompt_cache &) = delete;
  prompt_cache(prompt_cache &&) noexcept = default;
  prompt_cache &operator=(prompt_cache &&) noexcept = default;
  ~prompt_cache() = default;

  /// Sets the size of the cache in tokens and evicts the blocks that do not
  /// fit.
  void setCapacity(std::uint64_t Tokens);

  /// Tokens of the prompt that the engine has to prefill. A block counts as
  /// cached only if all blocks before it are cached too.
  [[nodiscard]] std::uint64_t
  uncachedTokens(const std::vector<prompt_block> &Prompt) const;

  /// True if the block with this hash is cached.
  [[nodiscard]] bool contains(std::uint64_t PrefixHash) const {
    return BlockByHash.find(PrefixHash) != BlockByHash.end();
  }

  /// Records that the engine processes this prompt.
  void recordUse(const std::vector<prompt_block> &Prompt);

  /// Removes all blocks, for an engine that has restarted.
  void clear();

private:
  struct cached_block {
    std::uint64_t PrefixHash = 0;
    std::uint64_t Tokens = 0;
  };
  using block_list = std::list<cached_block>;

  void evict();

  std::uint64_t CapacityTokens = 0;
  std::uint64_t CachedTokens = 0;
  /// Most recent use first.
  block_list LruList;
  std::unordered_map<std::uint64_t, block_list::iterator> BlockByHash;
};

} // namespace arbutus::balance

#endif
