#ifndef ARBUTUS_CONSENSUS_OPTIONS_H
#define ARBUTUS_CONSENSUS_OPTIONS_H

#include "base/clock.h"
#include "consensus/cluster_membership.h"

#include <cstddef>
#include <cstdint>

namespace arbutus::consensus {

/// Interval at which a leader sends a heartbeat to every peer.
inline constexpr duration DefaultHeartbeatInterval = 100ms;

/// A voter denies votes for this long after contact with a leader.
inline constexpr duration DefaultMinElectionTimeout = 800ms;

/// Upper bound of the random election timeout. A spread of 800 ms keeps split
/// votes rare with five voters and latencies of a millisecond.
inline constexpr duration DefaultMaxElectionTimeout = 1600ms;

/// A leader serves reads for this long after sending messages to which a
/// majority has replied. The margin of 200 ms to the minimum election timeout
/// covers clocks that run at different speeds.
inline constexpr duration DefaultLeaseDuration = 600ms;

/// Time without a reply after which a snapshot chunk is resent. Lost appends
/// are found by the next heartbeat.
inline constexpr duration DefaultResendTimeout = 300ms;

/// Snapshot bytes in one message.
inline constexpr std::size_t DefaultMaxChunkBytes = std::size_t{64} * 1024;

/// Payload bytes in one append, unless a single entry is larger.
inline constexpr std::size_t DefaultMaxAppendBytes = std::size_t{256} * 1024;

/// Entries in one append.
inline constexpr std::size_t DefaultMaxAppendEntries = 1024;

/// Appends in flight to one peer.
inline constexpr std::size_t MaxAppendsInFlight = 16;

/// Payload bytes in flight to one peer, unless a single append is larger.
inline constexpr std::uint64_t MaxBytesInFlight = std::uint64_t{1} << 20U;

/// Entries kept in the log below a snapshot's index, so that a slightly lagging
/// peer gets entries instead of the whole snapshot.
inline constexpr std::uint64_t DefaultTrailingEntries = 1000;

/// Payload bytes of these entries. An entry may hold a whole configuration, so
/// their number alone does not bound the memory that they take.
inline constexpr std::uint64_t DefaultTrailingBytes = std::uint64_t{4} << 20U;

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
  std::uint64_t TrailingBytes = DefaultTrailingBytes;
};

} // namespace arbutus::consensus

#endif
