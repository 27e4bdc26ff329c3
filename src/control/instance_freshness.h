#ifndef ARBUTUS_CONTROL_INSTANCE_FRESHNESS_H
#define ARBUTUS_CONTROL_INSTANCE_FRESHNESS_H

#include "base/clock.h"
#include "base/ids.h"

#include <deque>
#include <optional>

namespace arbutus::control {

/// The leader's record of how old the stored list of instances is. A router
/// must not send requests by a list that is too old, whatever the reason: a new
/// leader that has not read the list yet, one whose reads or commits are late,
/// or a revision that has not reached the router. Not thread-safe; the current
/// time is always an argument.
class instance_freshness {
public:
  /// Forgets all reads. Called at the start of a term.
  void reset() noexcept;

  /// A read that began at `ReadAt` is reflected by the store at `Stored`.
  void onStored(instant ReadAt, revision Stored);

  /// The server of the list does not answer. The list stays in use until it
  /// does: without a newer one, requests would have nowhere to go.
  void onServerUnavailable() noexcept { ServerUnavailable = true; }

  /// Age of the list that a router uses which has applied this revision.
  /// Nothing if it is not known. Zero while the server is unavailable.
  [[nodiscard]] std::optional<duration> ageAt(revision Applied,
                                              instant Now) const;

private:
  struct stored_read {
    instant ReadAt;
    revision Stored{};
  };

  /// Reads in the order in which they began, with growing revisions.
  std::deque<stored_read> Reads;
  bool ServerUnavailable = false;
};

} // namespace arbutus::control

#endif
