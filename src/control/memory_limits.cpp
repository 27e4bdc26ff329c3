#include "control/memory_limits.h"

#include "base/json_reader.h"
#include "base/log.h"
#include "router/shard.h"
#include <malloc.h>

#include <algorithm>

namespace arbutus::control {

namespace {

constexpr std::uint64_t BytesPerMegabyte = 1'000'000;

/// Log of a voter whose memory and disk are not limited by the settings.
constexpr std::uint64_t DefaultLogBytes = 16 * BytesPerMegabyte;

/// The log takes at most this fraction of the memory and of the disk. The store
/// holds the current configuration beside it, and a snapshot is in memory and
/// on disk twice while it is replaced.
constexpr std::uint64_t LogFraction = 8;
/// The answers that all I/O threads keep take at most this fraction of the
/// memory.
constexpr std::uint64_t AnswerFraction = 8;
/// Likewise the bodies of requests, unless the settings say otherwise.
constexpr std::uint64_t BodyFraction = 4;
/// Likewise the JSON values that texts are read into.
constexpr std::uint64_t JsonFraction = 8;
/// Buffers from this size on are returned to the system when they are freed.
constexpr int LargeBufferBytes = 128 << 10;

std::uint64_t logBytes(const settings::limit_settings &Limits) noexcept {
  std::uint64_t Bytes = DefaultLogBytes;
  for (const auto Megabytes : {Limits.MemoryMegabytes, Limits.DiskMegabytes}) {
    if (Megabytes != 0) {
      Bytes = std::min(Bytes, Megabytes * BytesPerMegabyte / LogFraction);
    }
  }
  return Bytes;
}

} // namespace

voter_limits voterLimits(const settings::limit_settings &Limits) noexcept {
  const auto Bytes = logBytes(Limits);
  const auto Eighth = Bytes / 8;
  return {3 * Eighth, 2 * Eighth, 2 * Eighth, Eighth};
}

std::size_t answerMemoryBytes(const settings::limit_settings &Limits,
                              int Threads) noexcept {
  if (Limits.MemoryMegabytes == 0) {
    return router::DefaultAnswerMemoryBytes;
  }
  const auto Share = Limits.MemoryMegabytes * BytesPerMegabyte /
                     AnswerFraction / static_cast<std::uint64_t>(Threads);
  return std::min<std::size_t>(router::DefaultAnswerMemoryBytes, Share);
}

std::size_t bodyMemoryBytes(const settings::limit_settings &Limits,
                            int Threads) noexcept {
  std::uint64_t Bytes = router::DefaultBodyMemoryBytes;
  if (Limits.BodyMemoryMegabytes != 0) {
    Bytes = Limits.BodyMemoryMegabytes * BytesPerMegabyte;
  } else if (Limits.MemoryMegabytes != 0) {
    Bytes = Limits.MemoryMegabytes * BytesPerMegabyte / BodyFraction;
  }
  return Bytes / static_cast<std::uint64_t>(Threads);
}

std::size_t jsonMemoryBytes(const settings::limit_settings &Limits,
                            int Threads) noexcept {
  if (Limits.MemoryMegabytes == 0) {
    return DefaultJsonMemoryBytes;
  }
  const auto Share = Limits.MemoryMegabytes * BytesPerMegabyte / JsonFraction /
                     static_cast<std::uint64_t>(Threads);
  return std::min<std::size_t>(DefaultJsonMemoryBytes, Share);
}

void limitHeapRetention() noexcept {
  // Set explicitly, the threshold no longer grows with each buffer freed.
  if (mallopt(M_MMAP_THRESHOLD, LargeBufferBytes) == 0) {
    logEvent(log_level::Warning, "heap_retention_unlimited",
             {{"threshold_bytes", LargeBufferBytes}});
  }
}

} // namespace arbutus::control
