#ifndef ARBUTUS_CONSENSUS_OPTIONS_H
#define ARBUTUS_CONSENSUS_OPTIONS_H

#include "base/clock.h"
#include "consensus/cluster_membership.h"

#include <cstddef>
#include <cstdint>

namespace arbutus::consensus {

/// Interval at which a leader sends to every member.
inline constexpr duration DefaultHeartbeatInterval = 100ms;

/// A voter refuses votes for this long after it heard from a leader.
inline constexpr duration DefaultMinElectionTimeout = 800ms;

/// Upper end of the random election timeout. A spread of 800 ms keeps split
/// votes rare with five voters and latencies of a millisecond.
inline constexpr duration DefaultMaxElectionTimeout = 1600ms;

/// A leader answers reads for this long after it sent what a majority has
/// answered. The 200 ms to `DefaultMinElectionTimeout` cover clocks that run at
/// different speeds.
inline constexpr duration DefaultLeaseDuration = 600ms;

/// Time after which unanswered appends or snapshot chunks are sent again.
inline constexpr duration DefaultResendTimeout = 300ms;

/// Part of a snapshot that goes into one message.
inline constexpr std::size_t DefaultMaxChunkBytes = std::size_t{64} * 1024;

/// Most payload bytes in one append, unless a single entry is larger.
inline constexpr std::size_t DefaultMaxAppendBytes = std::size_t{256} * 1024;

/// Most entries in one append.
inline constexpr std::size_t DefaultMaxAppendEntries = 1024;

/// Appends that may be unanswered per member before the leader waits.
inline constexpr std::size_t MaxAppendsInFlight = 16;

/// Entries kept behind a snapshot, so that a member that lags a little gets
/// entries and not the whole snapshot.
inline constexpr std::uint64_t DefaultTrailingEntries = 1000;

/// Settings of one `raft_node`.
struct raft_options {
  node_id NodeId{};
  data_directory_id DirectoryId = BootstrapDirectoryId;
  duration HeartbeatInterval = DefaultHeartbeatInterval;
  duration MinElectionTimeout = DefaultMinElectionTimeout;
  duration MaxElectionTimeout = DefaultMaxElectionTimeout;
  duration LeaseDuration = DefaultLeaseDuration;
  duration ResendTimeout = DefaultResendTimeout;
  std::size_t MaxChunkBytes = DefaultMaxChunkBytes;
  std::size_t MaxAppendBytes = DefaultMaxAppendBytes;
  std::size_t MaxAppendEntries = DefaultMaxAppendEntries;
  std::uint64_t TrailingEntries = DefaultTrailingEntries;
};

} // namespace arbutus::consensus

#endif
