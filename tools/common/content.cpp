#include "common/content.h"

#include "base/digest.h"
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace arbutus::tools {

namespace {

constexpr std::array<std::string_view, 16> Words = {
    "coin", "ledger", "shadow", "noon",  "gnomon", "dial",  "sum",  "saver",
    "line", "hour",   "plate",  "brass", "term",   "month", "sand", "quote"};

std::uint64_t mix(std::uint64_t Hash, std::uint64_t Index) noexcept {
  // Finalizer of SplitMix64.
  std::uint64_t Value = Hash + (Index + 1) * 0x9e3779b97f4a7c15U;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

} // namespace

std::string promptText(const nlohmann::json &Messages) {
  std::string Result;
  if (!Messages.is_array()) {
    return Result;
  }
  for (const auto &Message : Messages) {
    if (!Message.is_object()) {
      continue;
    }
    for (const char *Key : {"role", "content"}) {
      const auto Field = Message.find(Key);
      if (Field != Message.end() && Field->is_string()) {
        Result += Field->get_ref<const std::string &>();
      }
      Result += *Key == 'r' ? ": " : "\n";
    }
  }
  return Result;
}

std::uint64_t promptHash(std::string_view Prompt) noexcept {
  return hash64(Prompt, 1);
}

int promptTokens(std::string_view Prompt) noexcept {
  return static_cast<int>(std::max<std::size_t>(
      1, (Prompt.size() + PromptBytesPerToken - 1) / PromptBytesPerToken));
}

int outputTokens(std::uint64_t PromptHash, int MaxTokens) noexcept {
  const auto Most = static_cast<std::uint64_t>(std::max(1, MaxTokens));
  return 1 + static_cast<int>(mix(PromptHash, ~0ULL - 1) % Most);
}

std::string tokenText(std::uint64_t PromptHash, int Index) {
  const auto Value = mix(PromptHash, static_cast<std::uint64_t>(Index));
  std::string Result(Index == 0 ? "" : " ");
  Result += Words[Value % Words.size()];
  // The number makes a lost or swapped token change the text.
  Result += std::to_string((Value >> 8) % 1000);
  return Result;
}

std::string answerText(std::uint64_t PromptHash, int MaxTokens) {
  std::string Result;
  const int Count = outputTokens(PromptHash, MaxTokens);
  for (int Index = 0; Index < Count; ++Index) {
    Result += tokenText(PromptHash, Index);
  }
  return Result;
}

std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Result;
  std::uint64_t Previous = 0;
  while (Prompt.size() >= PrefixBlockBytes) {
    Previous = hash64(Prompt.substr(0, PrefixBlockBytes), Previous);
    Result.push_back(Previous);
    Prompt.remove_prefix(PrefixBlockBytes);
  }
  return Result;
}

} // namespace arbutus::tools
