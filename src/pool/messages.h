#ifndef ARBUTUS_POOL_MESSAGES_H
#define ARBUTUS_POOL_MESSAGES_H

#include "base/ids.h"
#include "base/name_table.h"
#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace arbutus::pool {

/// State of one upstream at one router. All counts are absolute or cumulative,
/// so that the newest report replaces any lost one.
struct upstream_usage {
  std::uint32_t Upstream = 0;
  /// Slots held: idle ones plus requests in flight.
  std::uint32_t Held = 0;
  /// Minimum number of requests in flight since the previous report. The
  /// grantor subtracts it from the reported load to find the requests that an
  /// ended session left running, so it must never be too high.
  std::uint32_t MinInFlight = 0;
  /// Requests sent in this epoch. The reserve is distributed in proportion.
  std::uint64_t Dispatched = 0;
  /// Outcomes counted in this epoch.
  std::uint64_t Ok = 0, Overloaded = 0, Failed = 0;
  /// First tokens received in this epoch and the sum of the times to them.
  std::uint64_t FirstTokens = 0, FirstTokenMillis = 0;
  MSGPACK_DEFINE(Upstream, Held, MinInFlight, Dispatched, Ok, Overloaded,
                 Failed, FirstTokens, FirstTokenMillis)
};

/// Demand and service of one team at one router.
struct team_usage {
  std::uint32_t Team = 0;
  std::uint32_t Waiting = 0;
  /// Cost charged in this session. Corrected estimates can lower it.
  std::int64_t Charged = 0;
  /// Mean estimated cost of the first waiting requests.
  std::uint32_t MeanEstimatedCost = 0;
  /// Upstreams that none of the first waiting requests may use.
  std::vector<std::uint32_t> ExcludedUpstreams;
  /// Upstreams that the first waiting requests prefer, in order.
  std::vector<std::uint32_t> PreferredUpstreams;
  MSGPACK_DEFINE(Team, Waiting, Charged, MeanEstimatedCost, ExcludedUpstreams,
                 PreferredUpstreams)
};

/// The limit of an upstream as the grantor last announced it. Full reports
/// carry it, so that a new grantor can restore the state of its predecessor.
struct known_limit {
  std::uint32_t Upstream = 0;
  std::uint32_t Limit = 0;
  /// Maximum number of slots that can have been in use. It exceeds `Limit`
  /// after the limit fell.
  std::uint32_t MaxInUse = 0;
  /// Version of the limit; newer ones are larger, also across epochs.
  std::uint32_t Version = 0;
  MSGPACK_DEFINE(Upstream, Limit, MaxInUse, Version)
};

/// Base of a team's virtual time, see `entry_kind::Slots`. Full reports carry
/// it for a new grantor.
struct known_base {
  std::uint32_t Team = 0;
  std::int64_t Base = 0;
  MSGPACK_DEFINE(Team, Base)
};

/// Sent by a router to the grantor of a pool.
struct pool_report {
  std::uint64_t Epoch = 0;
  /// Low 32 bits of the router's incarnation.
  std::uint32_t Session = 0;
  /// Number of the report in this epoch and session, starting at 1.
  std::uint64_t Sequence = 0;
  /// True until the grantor has acknowledged a report of this epoch. A full
  /// report lists every upstream and team with a count, others only changes.
  bool Full = false;
  /// Number of the last grant entry that was applied.
  std::uint64_t AppliedEntry = 0;
  std::vector<upstream_usage> Upstreams;
  std::vector<team_usage> Teams;
  std::vector<known_limit> Limits;
  std::vector<known_base> Bases;
  /// Minimum virtual time of the backlogged teams in the newest grant; 0
  /// unless the report is full.
  std::int64_t SystemVirtualTime = 0;
  MSGPACK_DEFINE(Epoch, Session, Sequence, Full, AppliedEntry, Upstreams, Teams,
                 Limits, Bases, SystemVirtualTime)
};

/// Kind of a numbered entry in a grant.
enum class entry_kind : std::uint8_t {
  /// `Count` slots on `Upstream` for waiting requests of `Team`. `Value` is
  /// the base of the team's virtual time: the virtual time without the charges
  /// that live sessions report. It never decreases, so the largest copy is the
  /// newest.
  Slots,
  /// `Count` idle slots on `Upstream`. The router may retain as many.
  Reserve,
  /// Release the idle slots on `Upstream` and retain no freed ones.
  Recall,
  /// Release all idle slots, and freed ones until `Uncontended`.
  Contended,
  /// Retain freed slots, up to the reserve.
  Uncontended,
  /// `Value` is the limit of `Upstream`, `Count` the maximum number of slots
  /// that may still be in use and `Team` the version of the limit.
  Limit,
};

struct grant_entry {
  std::uint8_t Kind = 0;
  std::uint32_t Upstream = 0;
  std::uint32_t Team = 0;
  std::uint32_t Count = 0;
  std::int64_t Value = 0;
  MSGPACK_DEFINE(Kind, Upstream, Team, Count, Value)
};

[[nodiscard]] inline grant_entry
makeEntry(entry_kind Kind, upstream_id Upstream = {}, std::uint32_t Count = 0) {
  return {static_cast<std::uint8_t>(Kind), number(Upstream), 0, Count, 0};
}

/// Sent by a grantor to one router. Holds every entry that the router has not
/// acknowledged, so that the next grant replaces a lost one.
struct pool_grant {
  std::uint64_t Epoch = 0;
  /// Session of the router; a router ignores grants for another session.
  std::uint32_t Session = 0;
  /// Number of the first entry in `Entries`.
  std::uint64_t FirstEntry = 1;
  /// Sequence of the newest report that was applied.
  std::uint64_t AcknowledgedReport = 0;
  /// Minimum virtual time of the backlogged teams.
  std::int64_t SystemVirtualTime = 0;
  std::vector<grant_entry> Entries;
  MSGPACK_DEFINE(Epoch, Session, FirstEntry, AcknowledgedReport,
                 SystemVirtualTime, Entries)
};

} // namespace arbutus::pool

template <> struct arbutus::name_table<arbutus::pool::entry_kind> {
  using kind = arbutus::pool::entry_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::Slots, "slots"},
      {kind::Reserve, "reserve"},
      {kind::Recall, "recall"},
      {kind::Contended, "contended"},
      {kind::Uncontended, "uncontended"},
      {kind::Limit, "limit"},
  };
};

#endif
