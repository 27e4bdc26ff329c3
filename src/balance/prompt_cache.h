#ifndef ARBUTUS_BALANCE_PROMPT_CACHE_H
#define ARBUTUS_BALANCE_PROMPT_CACHE_H

#include "balance/queued_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace arbutus::balance {

/// What an engine probably keeps of the prompts that were sent to it: the
/// parts that were used last, up to its memory. An estimate; the engine's own
/// order of eviction may differ.
class prompt_cache {
public:
  prompt_cache() = default;
  /// A copy would point into the list of the original.
  prompt_cache(const prompt_cache &) = delete;
  prompt_cache &operator=(const prompt_cache &) = delete;
  prompt_cache(prompt_cache &&) noexcept = default;
  prompt_cache &operator=(prompt_cache &&) noexcept = default;
  ~prompt_cache() = default;

  /// Tokens that fit; parts beyond them are forgotten, oldest use first.
  void setCapacity(std::uint64_t Tokens);

  /// Tokens of the prompt that have to be read: a part counts as kept only if
  /// all parts before it are kept too.
  [[nodiscard]] std::uint64_t
  missingTokens(const std::vector<prompt_block> &Prompt) const;

  /// Notes that the engine reads this prompt.
  void use(const std::vector<prompt_block> &Prompt);

  /// Forgets everything, for an engine that has restarted.
  void clear();

private:
  struct entry {
    std::uint64_t Hash = 0;
    std::uint64_t Tokens = 0;
  };
  using entry_list = std::list<entry>;

  void evict();

  std::uint64_t Capacity = 0;
  std::uint64_t Held = 0;
  /// Most recent use first.
  entry_list Order;
  std::unordered_map<std::uint64_t, entry_list::iterator> Index;
};

} // namespace arbutus::balance

#endif
