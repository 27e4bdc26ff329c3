#ifndef ARBUTUS_TOOLS_COMMON_CONTENT_H
#define ARBUTUS_TOOLS_COMMON_CONTENT_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::tools {

/// Bytes of prompt text that count as one token.
inline constexpr std::size_t PromptBytesPerToken = 4;
/// Bytes of prompt text in one block of the prefix cache (16 tokens).
inline constexpr std::size_t PrefixBlockBytes = 64;

/// Joins the messages of a chat request to the text that all functions below
/// take as prompt: `role: content` and a line feed for each message.
[[nodiscard]] std::string promptText(const nlohmann::json &Messages);

/// Hash from which the answer to a prompt follows. It depends on neither the
/// engine nor its seed, so that any caller can check an answer.
[[nodiscard]] std::uint64_t promptHash(std::string_view Prompt) noexcept;

/// Number of prompt tokens; at least 1.
[[nodiscard]] int promptTokens(std::string_view Prompt) noexcept;

/// Number of output tokens, from 1 to `MaxTokens`.
[[nodiscard]] int outputTokens(std::uint64_t PromptHash,
                               int MaxTokens) noexcept;

/// Text of one output token; it needs no escapes in JSON.
[[nodiscard]] std::string tokenText(std::uint64_t PromptHash, int Index);

/// Whole answer: the texts of `outputTokens` tokens.
[[nodiscard]] std::string answerText(std::uint64_t PromptHash, int MaxTokens);

/// Hashes of the complete blocks at the start of a prompt. Each hash covers
/// its block and, as the seed, the hash of the block before (0 for the first).
[[nodiscard]] std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt);

} // namespace arbutus::tools

#endif
