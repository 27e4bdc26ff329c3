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

/// An upstream was lost before it answered a request with this shared segment.
struct crash_report {
  segment_hash Segment{};
  upstream_run_hash Upstream{};

  bool operator==(const crash_report &) const = default;
  MSGPACK_DEFINE(Segment, Upstream)
};

/// What a router reports to the voters.
struct crash_findings {
  std::vector<crash_report> Crashes;
  /// Suspected segments of requests that were answered to their end.
  std::vector<segment_hash> Cleared;

  MSGPACK_DEFINE(Crashes, Cleared)
};

} // namespace arbutus::router

MSGPACK_ADD_ENUM(arbutus::router::segment_hash)
MSGPACK_ADD_ENUM(arbutus::router::upstream_run_hash)

#endif
