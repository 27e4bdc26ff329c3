#include "balance/prompt_cache.h"

namespace arbutus::balance {

void prompt_cache::setCapacity(std::uint64_t Tokens) {
  Capacity = Tokens;
  evict();
}

std::uint64_t
prompt_cache::missingTokens(const std::vector<prompt_block> &Prompt) const {
  std::uint64_t Missing = 0;
  for (const auto &Part : Prompt) {
    if (Missing > 0 || Index.find(Part.Hash) == Index.end()) {
      Missing += Part.Tokens;
    }
  }
  return Missing;
}

void prompt_cache::use(const std::vector<prompt_block> &Prompt) {
  // The first part is used most widely, so it becomes the most recent.
  for (auto Part = Prompt.rbegin(); Part != Prompt.rend(); ++Part) {
    const auto Known = Index.find(Part->Hash);
    if (Known != Index.end()) {
      Order.splice(Order.begin(), Order, Known->second);
      continue;
    }
    Order.push_front({Part->Hash, Part->Tokens});
    Index[Part->Hash] = Order.begin();
    Held += Part->Tokens;
  }
  evict();
}

void prompt_cache::clear() {
  Order.clear();
  Index.clear();
  Held = 0;
}

void prompt_cache::evict() {
  while (Held > Capacity && !Order.empty()) {
    Held -= Order.back().Tokens;
    Index.erase(Order.back().Hash);
    Order.pop_back();
  }
}

} // namespace arbutus::balance
