#ifndef ARBUTUS_TRAFFIC_UPSTREAM_RESTRICTIONS_H
#define ARBUTUS_TRAFFIC_UPSTREAM_RESTRICTIONS_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <string_view>

namespace arbutus::traffic {

/// One run of an upstream. A restart under the same name is another run.
struct upstream_run {
  std::string_view Name;
  /// Start time in Unix milliseconds, 0 if unknown.
  std::uint64_t StartedMs = 0;
};

/// What upstreams have asked of this router in their responses. It holds
/// whatever the list of instances says, because a response is newer than the
/// list and also reaches a router that has lost the leader. Not thread-safe.
class upstream_restrictions {
public:
  /// The upstream has announced that it is shutting down. Returns false if that
  /// is known.
  bool markLeaving(const upstream_run &Upstream, instant Now);

  /// The upstream wants no request until this time.
  void pause(const upstream_run &Upstream, instant Until, instant Now);

  /// True if the upstream must not get a request now.
  [[nodiscard]] bool isRestricted(const upstream_run &Upstream,
                                  instant Now) const;

  /// Calls `Visit(Upstream, Until)` for every upstream that must not get a
  /// request now; `Until` is when this ends.
  template <class Visitor> void visit(instant Now, Visitor Visit) const {
    for (const auto &[Name, Entry] : Entries) {
      if (isInForce(Entry, Now)) {
        Visit(upstream_run{Name, Entry.StartedMs}, Entry.Until);
      }
    }
  }

  /// Compares with the list of instances after it has changed.
  /// `IsInService(Name)` says whether the list has the upstream as ready. One
  /// that was not and is again has been restarted, which lifts its restrictions
  /// also where the list has no start times.
  template <class Predicate> void applyList(Predicate IsInService) {
    for (auto I = Entries.begin(); I != Entries.end();) {
      const bool InService = IsInService(std::string_view(I->first));
      const bool Restarted = InService && I->second.WasOutOfService;
      I->second.WasOutOfService = !InService;
      I = Restarted ? Entries.erase(I) : std::next(I);
    }
  }

  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }

private:
  struct restriction {
    std::uint64_t StartedMs = 0;
    bool Leaving = false;
    /// The list has not had the upstream as ready since the restriction.
    bool WasOutOfService = false;
    instant Until;
  };

  [[nodiscard]] static bool isInForce(const restriction &Entry,
                                      instant Now) noexcept;
  /// The entry of this run; drops that of an earlier run and expired ones.
  restriction &entryOf(const upstream_run &Upstream, instant Now);

  std::map<std::string, restriction, std::less<>> Entries;
};

} // namespace arbutus::traffic

#endif
