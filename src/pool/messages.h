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
  /// Slots held: idle credits plus requests in flight.
  std::uint32_t Held = 0;
  /// Least number of requests in flight since the report before. The grantor
  /// subtracts it from an upstream's load to find what an ended router left
  /// running, so it must never be too high.
  std::uint32_t LeastInFlight = 0;
  /// Requests sent in this epoch; the reserve is spread by it.
  std::uint64_t Dispatched = 0;
  /// Outcomes in this epoch.
  std::uint64_t Ok = 0, Overloaded = 0, Failed = 0;
  /// First tokens seen in this epoch and the sum of their times.
  std::uint64_t FirstTokens = 0, FirstTokenMillis = 0;
  MSGPACK_DEFINE(Upstream, Held, LeastInFlight, Dispatched, Ok, Overloaded,
                 Failed, FirstTokens, FirstTokenMillis)
};

/// Demand and service of one team at one router.
struct team_usage {
  std::uint32_t Team = 0;
  std::uint32_t Waiting = 0;
  /// Cost charged in this session. Corrections of estimates can lower it.
  std::int64_t Charged = 0;
  /// Mean estimated cost of the first waiting requests.
  std::uint32_t Estimate = 0;
  /// Upstreams that none of the first waiting requests may use.
  std::vector<std::uint32_t> Avoid;
  /// Upstreams that the first waiting requests prefer, in order.
  std::vector<std::uint32_t> Prefer;
  MSGPACK_DEFINE(Team, Waiting, Charged, Estimate, Avoid, Prefer)
};

/// Last known copy of grantor state; only in full reports, for a successor.
struct known_limit {
  std::uint32_t Upstream = 0;
  std::uint32_t Limit = 0;
  /// Most slots that can have been in use: above `Limit` after a fall.
  std::uint32_t Most = 0;
  /// Number of the notice, larger for newer ones, across epochs.
  std::uint32_t Notice = 0;
  MSGPACK_DEFINE(Upstream, Limit, Most, Notice)
};
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
  /// Number of the report in this epoch and session, from 1.
  std::uint64_t Sequence = 0;
  /// True until the grantor has acknowledged a report of this epoch: every
  /// upstream and team with a count is listed. Otherwise only changed ones.
  bool Full = false;
  /// Number of the last grant entry that was applied.
  std::uint64_t AppliedEntry = 0;
  std::vector<upstream_usage> Upstreams;
  std::vector<team_usage> Teams;
  std::vector<known_limit> Limits;
  std::vector<known_base> Bases;
  /// Least virtual time of the backlogged teams, as last told; in full reports.
  std::int64_t SystemTime = 0;
  MSGPACK_DEFINE(Epoch, Session, Sequence, Full, AppliedEntry, Upstreams, Teams,
                 Limits, Bases, SystemTime)
};

/// What a numbered entry of a grant tells the router.
enum class entry_kind : std::uint8_t {
  /// `Count` slots on `Upstream` for waiting requests of `Team`; `Value` is
  /// the base of the team's virtual time: what remains without the charges that
  /// live sessions report. It never falls, so the largest copy is the newest.
  Slots,
  /// `Count` idle credits on `Upstream`; the router may keep as many.
  Reserve,
  /// Idle credits on `Upstream` go back, and later ones are not kept.
  Recall,
  /// All idle credits go back; freed slots go back until `Uncontended`.
  Contended,
  /// Freed slots stay, up to the reserve.
  Uncontended,
  /// `Value` is the limit of `Upstream`, `Count` the most slots that may still
  /// be in use and `Team` the number of the notice.
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
/// acknowledged, so that the next frame replaces a lost one.
struct pool_grant {
  std::uint64_t Epoch = 0;
  /// Echo of the report's session; frames of another session are ignored.
  std::uint32_t Session = 0;
  /// Number of the first entry in `Entries`.
  std::uint64_t First = 1;
  /// Sequence of the newest report that was applied.
  std::uint64_t ReportSeen = 0;
  /// Least virtual time of the backlogged teams.
  std::int64_t SystemTime = 0;
  std::vector<grant_entry> Entries;
  MSGPACK_DEFINE(Epoch, Session, First, ReportSeen, SystemTime, Entries)
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
