#ifndef ARBUTUS_ROUTER_CRASH_REPORT_H
#define ARBUTUS_ROUTER_CRASH_REPORT_H

#include "base/ids.h"
#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace arbutus::router {

/// Hash of a prompt segment's id.
enum class segment_hash : std::uint64_t {};

/// Hash of an upstream's name and start time.
enum class upstream_run_hash : std::uint64_t {};

/// An upstream was lost before it answered a request with these shared
/// segments.
struct crash_report {
  upstream_run_hash Upstream{};
  std::vector<segment_hash> Segments;

  bool operator==(const crash_report &) const = default;
  MSGPACK_DEFINE(Upstream, Segments)
};

/// What a router reports to the voters.
struct crash_findings {
  std::vector<crash_report> Crashes;
  /// Suspected segments of requests that were answered to their end.
  std::vector<segment_hash> Cleared;
  /// Upstreams that were reported lost and have answered a later request.
  std::vector<upstream_run_hash> Alive;

  MSGPACK_DEFINE(Crashes, Cleared, Alive)
};

/// What the leader asks routers to look out for.
struct crash_suspicions {
  /// Segments that may have crashed upstreams.
  std::vector<segment_hash> Segments;
  /// Upstreams that were reported lost a moment ago.
  std::vector<upstream_run_hash> LostUpstreams;

  MSGPACK_DEFINE(Segments, LostUpstreams)
};

} // namespace arbutus::router

MSGPACK_ADD_ENUM(arbutus::router::segment_hash)
MSGPACK_ADD_ENUM(arbutus::router::upstream_run_hash)

#endif
