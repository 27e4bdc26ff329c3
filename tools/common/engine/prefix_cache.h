#ifndef ARBUTUS_TOOLS_COMMON_ENGINE_PREFIX_CACHE_H
#define ARBUTUS_TOOLS_COMMON_ENGINE_PREFIX_CACHE_H

#include "base/clock.h"
#include "base/name_table.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace arbutus::tools {

enum class cache_event_kind { Stored, Removed, Cleared };

/// One change of the prefix cache, numbered from 1.
struct cache_event {
  std::uint64_t Number;
  cache_event_kind Kind;
  /// Hash of the block; 0 for `Cleared`.
  std::uint64_t Block;
  instant At;
};

/// Cache of prompt blocks with limited memory; the least recently used block
/// is removed first.
class prefix_cache {
public:
  /// The newest events that are kept for readers.
  static constexpr std::size_t MostEvents = 65536;

  explicit prefix_cache(std::size_t MostBlocks) : MostBlocks(MostBlocks) {}

  /// Number of leading blocks that are cached. All blocks of the prompt are
  /// then stored as most recently used.
  std::size_t use(const std::vector<std::uint64_t> &Blocks, instant Now);

  /// Removes these blocks; absent ones are ignored.
  void remove(const std::vector<std::uint64_t> &Blocks, instant Now);

  void clear(instant Now);

  [[nodiscard]] bool contains(std::uint64_t Block) const {
    return Index.count(Block) > 0;
  }
  [[nodiscard]] std::size_t size() const noexcept { return Index.size(); }

  /// Blocks from the most to the least recently used.
  [[nodiscard]] std::vector<std::uint64_t> blocks() const {
    return {Recent.begin(), Recent.end()};
  }

  /// Events in order; the oldest are dropped beyond `MostEvents`.
  [[nodiscard]] const std::deque<cache_event> &events() const noexcept {
    return Events;
  }

private:
  void store(std::uint64_t Block, instant Now);
  void note(cache_event_kind Kind, std::uint64_t Block, instant Now);

  std::size_t MostBlocks;
  std::list<std::uint64_t> Recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Index;
  std::deque<cache_event> Events;
  std::uint64_t LastEvent = 0;
};

/// True if the event with this number is missing from what readers get. The
/// choice is fixed by seed and number, so that a reread shows the same gaps.
[[nodiscard]] bool missingEvent(std::uint64_t Number, double GapPercent,
                                std::uint64_t Seed) noexcept;

} // namespace arbutus::tools

namespace arbutus {

template <> struct name_table<tools::cache_event_kind> {
  static constexpr name_row<tools::cache_event_kind> Rows[] = {
      {tools::cache_event_kind::Stored, "BlockStored"},
      {tools::cache_event_kind::Removed, "BlockRemoved"},
      {tools::cache_event_kind::Cleared, "AllBlocksCleared"},
  };
};

} // namespace arbutus

#endif
