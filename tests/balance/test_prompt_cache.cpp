#include "balance/prompt_cache.h"
#include <catch2/catch.hpp>

#include <vector>

using namespace arbutus::balance;

// Guards against parts that count as kept although the part before them is not,
// and against a cache without bound.
TEST_CASE("missing tokens follow from what was used last") {
  struct row {
    std::vector<prompt_block> Use;
    std::vector<prompt_block> Ask;
    std::uint64_t Missing;
  };
  prompt_cache Cache;
  Cache.setCapacity(1'000);
  const std::vector<row> Rows = {
      {{}, {{1, 400}, {2, 200}}, 600},
      {{{1, 400}, {2, 200}}, {{1, 400}, {2, 200}}, 0},
      {{}, {{1, 400}, {3, 100}}, 100},
      // A kept part behind a missing one must be read again.
      {{}, {{9, 50}, {2, 200}}, 250},
      // The newest prompt pushes the part out that was used longest ago; the
      // first part of a prompt stays before its later parts.
      {{{1, 400}, {4, 300}}, {{1, 400}, {2, 200}}, 0},
      {{{5, 500}}, {{1, 400}}, 0},
      {{}, {{1, 400}, {2, 200}}, 200},
      // A prompt that does not fit at all.
      {{{6, 2'000}}, {{6, 2'000}}, 2'000},
  };
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    CAPTURE(I);
    if (!Rows[I].Use.empty()) {
      Cache.use(Rows[I].Use);
    }
    CHECK(Cache.missingTokens(Rows[I].Ask) == Rows[I].Missing);
  }
  Cache.clear();
  CHECK(Cache.missingTokens({{1, 400}}) == 400);
}
