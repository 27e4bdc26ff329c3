#include "control/instance_freshness.h"

#include <algorithm>

namespace arbutus::control {

namespace {

/// Reads that are kept for routers that have not applied the newest revision.
/// Older ones are of no use: a list of that age is too old for any router.
constexpr std::size_t MaxReads = 64;

} // namespace

void instance_freshness::reset() noexcept {
  Reads.clear();
  ServerUnavailable = false;
}

void instance_freshness::onStored(instant ReadAt, revision Stored) {
  ServerUnavailable = false;
  if (!Reads.empty() && ReadAt < Reads.back().ReadAt) {
    return; // a later read was stored first and includes it
  }
  // A router with this revision has the newest read at once, so that an older
  // read of the same revision is not needed.
  if (!Reads.empty() && Reads.back().Stored == Stored) {
    Reads.back().ReadAt = ReadAt;
    return;
  }
  Reads.push_back({ReadAt, Stored});
  if (Reads.size() > MaxReads) {
    Reads.pop_front();
  }
}

std::optional<duration> instance_freshness::ageAt(revision Applied,
                                                  instant Now) const {
  if (ServerUnavailable) {
    return duration::zero();
  }
  const auto Newest =
      std::find_if(Reads.rbegin(), Reads.rend(),
                   [&](const auto &Read) { return Read.Stored <= Applied; });
  if (Newest == Reads.rend()) {
    return std::nullopt;
  }
  return std::max<duration>(Now - Newest->ReadAt, duration::zero());
}

} // namespace arbutus::control
