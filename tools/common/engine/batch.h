#ifndef ARBUTUS_TOOLS_COMMON_ENGINE_BATCH_H
#define ARBUTUS_TOOLS_COMMON_ENGINE_BATCH_H

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::tools {

/// Number of a generation inside one engine process.
enum class generation_id : std::uint64_t {};

/// One output token that is due.
struct batch_token {
  generation_id Generation;
  /// Position in the whole answer, from 0.
  int Index;
  bool Last;
};

/// Continuous batching: every step yields one token for each generation whose
/// prompt has been processed. A step takes the token time while the batch
/// holds no more than it can bear, and in proportion longer beyond that.
class batch {
public:
  explicit batch(duration TokenTime) : TokenTime(TokenTime) {}

  /// Adds a generation whose first token is due at `ReadyAt` and that yields
  /// the tokens from `FirstToken` to before `EndToken`.
  void add(generation_id Id, int FirstToken, int EndToken, instant ReadyAt);

  /// Removes a generation and returns the position of its next token; nothing
  /// if it is not in the batch.
  std::optional<int> remove(generation_id Id);

  /// Yields the tokens of all steps due by `Now`. `Bearable` is the number of
  /// generations that run at full speed.
  [[nodiscard]] std::vector<batch_token> advance(instant Now, int Bearable);

  /// Time of the next step, or nothing if the batch is empty.
  [[nodiscard]] std::optional<instant> nextStep() const noexcept;

  [[nodiscard]] int running() const noexcept {
    return static_cast<int>(Running.size());
  }

private:
  struct member {
    int Next;
    int End;
    instant ReadyAt;
  };

  duration TokenTime;
  /// No step starts before this time.
  instant FreeAt{};
  std::map<generation_id, member> Running;
};

} // namespace arbutus::tools

#endif
