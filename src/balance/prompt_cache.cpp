#include "balance/prompt_cache.h"

namespace arbutus::balance {

void prompt_cache::setCapacity(std::uint64_t Tokens) {
  CapacityTokens = Tokens;
  evict();
}

std::uint64_t
prompt_cache::uncachedTokens(const std::vector<prompt_block> &Prompt) const {
  std::uint64_t Uncached = 0;
  for (const auto &Block : Prompt) {
    if (Uncached > 0 ||
        BlockByHash.find(Block.PrefixHash) == BlockByHash.end()) {
      Uncached += Block.Tokens;
    }
  }
  return Uncached;
}

void prompt_cache::recordUse(const std::vector<prompt_block> &Prompt) {
  // Inserts in reverse order, so that the first block becomes the most recent:
  // it is shared by the most prompts.
  for (auto Block = Prompt.rbegin(); Block != Prompt.rend(); ++Block) {
    const auto Cached = BlockByHash.find(Block->PrefixHash);
    if (Cached != BlockByHash.end()) {
      LruList.splice(LruList.begin(), LruList, Cached->second);
      continue;
    }
    LruList.push_front({Block->PrefixHash, Block->Tokens});
    BlockByHash[Block->PrefixHash] = LruList.begin();
    CachedTokens += Block->Tokens;
  }
  evict();
}

void prompt_cache::clear() {
  LruList.clear();
  BlockByHash.clear();
  CachedTokens = 0;
}

void prompt_cache::evict() {
  while (CachedTokens > CapacityTokens && !LruList.empty()) {
    CachedTokens -= LruList.back().Tokens;
    BlockByHash.erase(LruList.back().PrefixHash);
    LruList.pop_back();
  }
}

} // namespace arbutus::balance
