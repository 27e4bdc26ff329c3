#include "common/engine/prefix_cache.h"

#include "base/digest.h"

#include <string>

namespace arbutus::tools {

std::size_t prefix_cache::use(const std::vector<std::uint64_t> &Blocks,
                              instant Now) {
  std::size_t Hits = 0;
  while (Hits < Blocks.size() && contains(Blocks[Hits])) {
    ++Hits;
  }
  // Stored from the end, so that the start of a prefix is removed last.
  for (auto It = Blocks.rbegin(); It != Blocks.rend(); ++It) {
    store(*It, Now);
  }
  return Hits;
}

void prefix_cache::remove(const std::vector<std::uint64_t> &Blocks,
                          instant Now) {
  for (const auto Block : Blocks) {
    if (const auto Found = Index.find(Block); Found != Index.end()) {
      Recent.erase(Found->second);
      Index.erase(Found);
      note(cache_event_kind::Removed, Block, Now);
    }
  }
}

void prefix_cache::clear(instant Now) {
  if (!Index.empty()) {
    Recent.clear();
    Index.clear();
    note(cache_event_kind::Cleared, 0, Now);
  }
}

void prefix_cache::store(std::uint64_t Block, instant Now) {
  if (const auto Found = Index.find(Block); Found != Index.end()) {
    Recent.splice(Recent.begin(), Recent, Found->second);
    return;
  }
  if (MostBlocks == 0) {
    return;
  }
  if (Index.size() >= MostBlocks) {
    const auto Oldest = Recent.back();
    Recent.pop_back();
    Index.erase(Oldest);
    note(cache_event_kind::Removed, Oldest, Now);
  }
  Recent.push_front(Block);
  Index.emplace(Block, Recent.begin());
  note(cache_event_kind::Stored, Block, Now);
}

void prefix_cache::note(cache_event_kind Kind, std::uint64_t Block,
                        instant Now) {
  Events.push_back({++LastEvent, Kind, Block, Now});
  if (Events.size() > MostEvents) {
    Events.pop_front();
  }
}

bool missingEvent(std::uint64_t Number, double GapPercent,
                  std::uint64_t Seed) noexcept {
  const auto Draw = hash64(std::to_string(Number), Seed) % 10000;
  return static_cast<double>(Draw) < GapPercent * 100;
}

} // namespace arbutus::tools
