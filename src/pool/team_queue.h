#ifndef ARBUTUS_POOL_TEAM_QUEUE_H
#define ARBUTUS_POOL_TEAM_QUEUE_H

#include "base/clock.h"
#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace arbutus::pool {

/// A request that waits for a slot.
struct pending_request {
  std::uint64_t RequestId = 0;
  team_id Team{};
  double EstimatedCost = 1;
  std::optional<upstream_id> Preferred;
  std::vector<upstream_id> Excluded;
  instant Deadline;
};

/// Returns true if the request must not go to this upstream.
[[nodiscard]] bool excludes(const pending_request &Request,
                            upstream_id Upstream);

/// Waiting requests of one team at one router, in order of arrival. Only the
/// first 16 are matched to upstreams.
class team_queue {
public:
  void push(pending_request Request) { Queue.push_back({std::move(Request)}); }

  /// Removes a request by its id.
  std::optional<pending_request> remove(std::uint64_t RequestId);

  /// Removes and returns the request that should use a slot on this upstream:
  /// the first that prefers it, else the first that may use it. A request that
  /// was overtaken eight times goes before later ones that prefer the
  /// upstream. Skips requests whose deadline has passed.
  std::optional<pending_request> popFor(upstream_id Upstream, instant Now);

  /// Calls `Choose` for the first requests in order and returns the first
  /// upstream that it gives.
  [[nodiscard]] std::optional<upstream_id> firstFit(
      const std::function<std::optional<upstream_id>(const pending_request &)>
          &Choose,
      instant Now) const;

  /// Upstreams that all of the first requests exclude.
  [[nodiscard]] std::vector<std::uint32_t> commonExclusions() const;
  /// Preferred upstreams of the first requests, at most four.
  [[nodiscard]] std::vector<std::uint32_t> preferred() const;

  /// Mean estimated cost of the first requests, or 0 if none waits.
  [[nodiscard]] double meanEstimate() const;

  [[nodiscard]] std::uint32_t size() const noexcept {
    return static_cast<std::uint32_t>(Queue.size());
  }
  [[nodiscard]] bool empty() const noexcept { return Queue.empty(); }

private:
  struct waiting_request {
    pending_request Request;
    /// Times that a later request was taken first.
    std::uint32_t SkipCount = 0;
  };

  [[nodiscard]] std::size_t matchWindowSize() const noexcept;
  [[nodiscard]] pending_request removeAt(std::size_t Position);

  std::deque<waiting_request> Queue;
};

} // namespace arbutus::pool

#endif
