#include "common/engine/batch.h"

#include <algorithm>

namespace arbutus::tools {

void batch::add(generation_id Id, int FirstToken, int EndToken,
                instant ReadyAt) {
  Running.insert_or_assign(Id, member{FirstToken, EndToken, ReadyAt});
}

std::optional<int> batch::remove(generation_id Id) {
  const auto Found = Running.find(Id);
  if (Found == Running.end()) {
    return std::nullopt;
  }
  const int Next = Found->second.Next;
  Running.erase(Found);
  return Next;
}

std::vector<batch_token> batch::advance(instant Now, int Bearable) {
  std::vector<batch_token> Tokens;
  for (auto Step = nextStep(); Step && *Step <= Now; Step = nextStep()) {
    const auto Load = std::max<std::int64_t>(running(), Bearable);
    FreeAt = *Step + TokenTime * Load / std::max(1, Bearable);
    if (FreeAt == *Step) {
      FreeAt += duration(1);
    }
    for (auto It = Running.begin(); It != Running.end();) {
      auto &[Id, Member] = *It;
      if (Member.ReadyAt > *Step) {
        ++It;
        continue;
      }
      const bool Last = Member.Next + 1 >= Member.End;
      Tokens.push_back({Id, Member.Next++, Last});
      It = Last ? Running.erase(It) : std::next(It);
    }
  }
  return Tokens;
}

std::optional<instant> batch::nextStep() const noexcept {
  std::optional<instant> Earliest;
  for (const auto &[Id, Member] : Running) {
    if (!Earliest || Member.ReadyAt < *Earliest) {
      Earliest = Member.ReadyAt;
    }
  }
  return Earliest ? std::optional(std::max(*Earliest, FreeAt)) : std::nullopt;
}

} // namespace arbutus::tools
