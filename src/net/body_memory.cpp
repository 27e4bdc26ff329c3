#include "net/body_memory.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace arbutus::net {

namespace {

/// Part of the memory that bulk may use.
constexpr double BulkShare = 0.75;
constexpr std::size_t MinCapacity = 512;

} // namespace

request_body::request_body(body_memory &Memory, std::function<void()> OnEvicted)
    : Memory(Memory), OnEvicted(std::move(OnEvicted)),
      ProgressAt(monotonic_clock::now()) {}

request_body::~request_body() { Memory.release(*this); }

void request_body::complete() noexcept {
  Complete = true;
  Memory.updateRank(*this);
}

std::size_t request_body::capacityFor(std::size_t Needed) const noexcept {
  const auto Doubled = std::max({Needed, 2 * Bytes.capacity(), MinCapacity});
  return Announced >= Needed ? std::min(Doubled, Announced) : Doubled;
}

bool request_body::append(std::string_view More, instant Now) {
  const auto Needed = Bytes.size() + More.size();
  ProgressAt = Now;
  if (Needed > Bytes.capacity() || Reserved < Needed) {
    const auto Capacity = capacityFor(Needed);
    if (!Memory.reserve(*this, Capacity)) {
      return false;
    }
    Bytes.reserve(Capacity);
  }
  Bytes.append(More);
  return true;
}

bool body_memory::hasRoom(std::size_t Bytes, bool IsBulk) const noexcept {
  const auto Limit =
      IsBulk
          ? static_cast<std::size_t>(BulkShare * static_cast<double>(MaxBytes))
          : MaxBytes;
  return Used.load() + Bytes <= Limit;
}

request_body *body_memory::largestPartial(const request_body &Beside) {
  auto First = Order.begin();
  while (First != Order.end()) {
    request_body &Body = *First->Body;
    ++Examined;
    if (&Body == &Beside) {
      ++First;
    } else if (Body.ProgressAt == First->ProgressAt) {
      return &Body;
    } else {
      updateRank(Body);
      First = Order.begin();
    }
  }
  return nullptr;
}

void body_memory::updateRank(request_body &Body) {
  if (Body.Rank) {
    Order.erase(*Body.Rank);
    Body.Rank.reset();
  }
  if (!Body.Complete && Body.Reserved > 0) {
    Body.Rank = eviction_rank{Body.Reserved, Body.ProgressAt, &Body};
    Order.insert(*Body.Rank);
  }
}

bool body_memory::reserve(request_body &Body, std::size_t Capacity) {
  // While a body is moved to a larger buffer, both exist.
  const bool IsBulk = Capacity > SmallBodyBytes;
  while (!hasRoom(Capacity, IsBulk)) {
    auto *Other = largestPartial(Body);
    if (Other == nullptr || Other->Reserved < Capacity) {
      ++Refused;
      logEvent(log_level::Warning, "body_refused",
               {{"bytes", Body.size()}, {"used_bytes", Used.load()}});
      return false;
    }
    ++Evicted;
    logEvent(
        log_level::Warning, "body_evicted",
        {{"bytes", Other->size()},
         {"used_bytes", Used.load()},
         {"idle_us", toMicros(monotonic_clock::now() - Other->ProgressAt)}});
    release(*Other);
    Other->Bytes = {};
    const auto Close = std::exchange(Other->OnEvicted, nullptr);
    if (Close) {
      Close(); // may destroy it
    }
  }
  Used += Capacity - Body.Reserved;
  Body.Reserved = Capacity;
  updateRank(Body);
  return true;
}

void body_memory::release(request_body &Body) noexcept {
  Used -= std::exchange(Body.Reserved, 0);
  updateRank(Body);
}

} // namespace arbutus::net
