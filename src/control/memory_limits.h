#ifndef ARBUTUS_CONTROL_MEMORY_LIMITS_H
#define ARBUTUS_CONTROL_MEMORY_LIMITS_H

#include "settings/settings.h"

#include <cstddef>
#include <cstdint>

namespace arbutus::control {

/// Bounds in bytes of the log that a voter holds in memory and on disk, and
/// that it reads back at its next start. Entries may hold whole configurations,
/// so a bound on their number would not bound their size.
struct voter_limits {
  /// Payload applied since the latest snapshot after which the next is saved.
  std::uint64_t SnapshotBytes = 0;
  /// Payload kept below the latest snapshot for peers that lag.
  std::uint64_t TrailingBytes = 0;
  /// Payload that a leader takes before it is committed.
  std::uint64_t UncommittedBytes = 0;
  /// Size at which a new file of the log starts. Only whole files are removed.
  std::size_t SegmentBytes = 0;
};

/// Shares out the part of the VM's memory and disk that the log may take.
[[nodiscard]] voter_limits
voterLimits(const settings::limit_settings &Limits) noexcept;

/// Bytes of request bodies that one of `Threads` I/O threads may keep at once.
[[nodiscard]] std::size_t
bodyMemoryBytes(const settings::limit_settings &Limits, int Threads) noexcept;

/// Bytes of the JSON values that one text may become on one of `Threads` I/O
/// threads. The event loop of control and the voter may read one beside them.
[[nodiscard]] std::size_t
jsonMemoryBytes(const settings::limit_settings &Limits, int Threads) noexcept;

/// Returns large buffers to the system as soon as they are freed. By default
/// the C library keeps them once some were freed, so that a process that was
/// crowded for a moment stays large.
void limitHeapRetention() noexcept;

/// Bytes of answers that one of `Threads` I/O threads may keep at once.
[[nodiscard]] std::size_t
answerMemoryBytes(const settings::limit_settings &Limits, int Threads) noexcept;

} // namespace arbutus::control

#endif
