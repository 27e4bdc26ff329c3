#include "traffic/upstream_restrictions.h"

#include <algorithm>
#include <utility>

namespace arbutus::traffic {

namespace {

/// Time for which a leaving upstream is remembered. It is far longer than a
/// drain takes, and bounds the loss if an upstream restarts unnoticed.
constexpr duration LeavingRetention = 10 * 60s;

} // namespace

bool upstream_restrictions::markLeaving(const upstream_run &Upstream,
                                        instant Now) {
  pause(Upstream, Now + LeavingRetention, Now);
  return !std::exchange(entryOf(Upstream, Now).Leaving, true);
}

void upstream_restrictions::pause(const upstream_run &Upstream, instant Until,
                                  instant Now) {
  auto &Entry = entryOf(Upstream, Now);
  Entry.Until = std::max(Entry.Until, Until);
}

bool upstream_restrictions::isRestricted(const upstream_run &Upstream,
                                         instant Now) const {
  const auto Found = Entries.find(Upstream.Name);
  return Found != Entries.end() &&
         Found->second.StartedMs == Upstream.StartedMs &&
         isInForce(Found->second, Now);
}

bool upstream_restrictions::isInForce(const restriction &Entry,
                                      instant Now) noexcept {
  return Now < Entry.Until;
}

upstream_restrictions::restriction &
upstream_restrictions::entryOf(const upstream_run &Upstream, instant Now) {
  std::erase_if(Entries, [Now](const auto &Entry) {
    return !isInForce(Entry.second, Now);
  });
  auto &Entry = Entries[std::string(Upstream.Name)];
  if (Entry.StartedMs != Upstream.StartedMs) {
    Entry = {};
    Entry.StartedMs = Upstream.StartedMs;
  }
  return Entry;
}

} // namespace arbutus::traffic
