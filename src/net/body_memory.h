#ifndef ARBUTUS_NET_BODY_MEMORY_H
#define ARBUTUS_NET_BODY_MEMORY_H

#include "base/clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

namespace arbutus::net {

/// Bytes of each body that do not count as bulk, see `body_memory`.
inline constexpr std::size_t SmallBodyBytes = std::size_t{16} << 10U;

class body_memory;
class request_body;

/// Place of a body in the order in which bodies give way: the largest first, of
/// equal ones the one without progress for the longest time.
struct eviction_rank {
  std::size_t Reserved = 0;
  instant ProgressAt;
  request_body *Body = nullptr;

  [[nodiscard]] bool operator<(const eviction_rank &Other) const noexcept {
    return std::tie(Other.Reserved, ProgressAt, Body) <
           std::tie(Reserved, Other.ProgressAt, Other.Body);
  }
};

/// The body of one request, from its first byte until the request has ended.
/// Belongs to the memory that it takes from and must not outlive it.
class request_body {
public:
  /// `OnEvicted` closes the connection that sends the body.
  request_body(body_memory &Memory, std::function<void()> OnEvicted);
  request_body(const request_body &) = delete;
  request_body &operator=(const request_body &) = delete;
  ~request_body();

  /// Adds bytes that were received. Returns false if there is no room for them;
  /// the connection is to be closed then.
  [[nodiscard]] bool append(std::string_view Bytes, instant Now);
  /// The length that the caller has announced. No more is kept for the body.
  void setAnnouncedBytes(std::size_t Bytes) noexcept { Announced = Bytes; }
  /// The body is complete: it is not evicted any more.
  void complete() noexcept;
  /// Moves the bytes out. They count until the object is destroyed.
  [[nodiscard]] std::string take() noexcept { return std::move(Bytes); }

  [[nodiscard]] std::size_t size() const noexcept { return Bytes.size(); }
  [[nodiscard]] std::size_t reservedBytes() const noexcept { return Reserved; }
  [[nodiscard]] bool isComplete() const noexcept { return Complete; }
  [[nodiscard]] instant lastProgress() const noexcept { return ProgressAt; }

private:
  friend class body_memory;

  /// Capacity for this many bytes: more than needed, so that a body is not
  /// copied for each piece.
  [[nodiscard]] std::size_t capacityFor(std::size_t Needed) const noexcept;

  body_memory &Memory;
  std::function<void()> OnEvicted;
  std::string Bytes;
  std::size_t Announced = 0;
  std::size_t Reserved = 0;
  bool Complete = false;
  instant ProgressAt;
  /// Place among the bodies that can give way; empty if this one cannot.
  std::optional<eviction_rank> Rank;
};

/// Memory for the bodies of requests that one event loop keeps at once, over
/// all its listeners. Bulk, the bytes of a body beyond the first
/// `SmallBodyBytes`, may use a part of it only, so that small requests find
/// room beside large ones. When it is full, the largest body that is still
/// being received gives way, of equal ones the one without progress for the
/// longest time; a body that would be the largest itself is refused. Bodies are
/// so many bytes as were received, however they were cut into pieces. Used on
/// one thread, but for the counters.
class body_memory {
public:
  explicit body_memory(std::size_t MaxBytes) noexcept : MaxBytes(MaxBytes) {}
  body_memory(const body_memory &) = delete;
  body_memory &operator=(const body_memory &) = delete;

  [[nodiscard]] std::size_t usedBytes() const noexcept { return Used.load(); }
  /// Bodies that gave way to others, and those that found no room.
  [[nodiscard]] std::uint64_t evicted() const noexcept {
    return Evicted.load();
  }
  [[nodiscard]] std::uint64_t refused() const noexcept {
    return Refused.load();
  }
  /// Bodies that were looked at to find those that give way.
  [[nodiscard]] std::uint64_t examined() const noexcept {
    return Examined.load();
  }

private:
  friend class request_body;

  /// Makes room for a body to grow to this capacity. Returns false if others
  /// cannot give way.
  [[nodiscard]] bool reserve(request_body &Body, std::size_t Capacity);
  void release(request_body &Body) noexcept;
  [[nodiscard]] bool hasRoom(std::size_t Bytes, bool IsBulk) const noexcept;
  /// The body that gives way first, or null.
  [[nodiscard]] request_body *largestPartial(const request_body &Beside);
  /// Puts a body at its present place in the order, or takes it out of the
  /// order if it cannot give way.
  void updateRank(request_body &Body);

  std::size_t MaxBytes;
  std::atomic<std::size_t> Used = 0;
  std::atomic<std::uint64_t> Evicted = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> Examined = 0;
  /// The bodies that can give way. Progress changes a rank only when the body
  /// is looked at, so that a piece of a body does not sort the others.
  std::set<eviction_rank> Order;
};

} // namespace arbutus::net

#endif
