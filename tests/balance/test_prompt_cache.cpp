#include "balance/prompt_cache.h"
#include <catch2/catch.hpp>

#include <vector>

using namespace arbutus::balance;

// Guards against a block that counts as cached although the block before it is
// not, and against a cache of unlimited size.
TEST_CASE("uncached tokens follow from the most recently used prompts") {
  struct row {
    std::vector<prompt_block> Used;
    std::vector<prompt_block> Prompt;
    std::uint64_t Uncached;
  };
  prompt_cache Cache;
  Cache.setCapacity(1'000);
  const std::vector<row> Rows = {
      {{}, {{1, 400}, {2, 200}}, 600},
      {{{1, 400}, {2, 200}}, {{1, 400}, {2, 200}}, 0},
      {{}, {{1, 400}, {3, 100}}, 100},
      // A cached block after an uncached one must be processed again.
      {{}, {{9, 50}, {2, 200}}, 250},
      // The newest prompt evicts the least recently used block. The first block
      // of a prompt outlives its later blocks.
      {{{1, 400}, {4, 300}}, {{1, 400}, {2, 200}}, 0},
      {{{5, 500}}, {{1, 400}}, 0},
      {{}, {{1, 400}, {2, 200}}, 200},
      // A prompt that is larger than the cache.
      {{{6, 2'000}}, {{6, 2'000}}, 2'000},
  };
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    CAPTURE(I);
    if (!Rows[I].Used.empty()) {
      Cache.recordUse(Rows[I].Used);
    }
    CHECK(Cache.uncachedTokens(Rows[I].Prompt) == Rows[I].Uncached);
  }
  Cache.clear();
  CHECK(Cache.uncachedTokens({{1, 400}}) == 400);
}
