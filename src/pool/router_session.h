#ifndef ARBUTUS_POOL_ROUTER_SESSION_H
#define ARBUTUS_POOL_ROUTER_SESSION_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/name_table.h"
#include "pool/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::pool {

enum class session_state { Live, Suspected, Ended };

/// Session of one node, as the control leader reports it.
struct session_info {
  node_id Node{};
  incarnation Incarnation{};
  session_state State = session_state::Live;
};

/// Slots of one upstream at a router, as the grantor knows them.
struct session_upstream {
  struct sample {
    instant At;
    std::uint32_t MinInFlight = 0;
  };

  upstream_usage Usage;
  /// Granted, not yet acknowledged.
  std::uint32_t Unacknowledged = 0;
  /// Recent minimum in-flight counts, oldest first.
  std::deque<sample> Samples;
  std::uint64_t DispatchedBefore = 0;
  double RecentUse = 0;
  /// True from a recall until the next reserve.
  bool Recalled = false;

  /// Slots that the router has reported or was granted.
  [[nodiscard]] std::uint32_t held() const {
    return Usage.Held + Unacknowledged;
  }
  /// Minimum in-flight count known for the whole interval [From, To]; 0 if the
  /// samples do not reach back to `From`.
  [[nodiscard]] std::uint32_t minInFlightWithin(instant From, instant To) const;
};

/// Demand of one team at a router, as the grantor knows it.
struct session_team {
  team_usage Usage;
  std::uint32_t Unacknowledged = 0;

  [[nodiscard]] std::uint32_t demand() const {
    return Usage.Waiting > Unacknowledged ? Usage.Waiting - Unacknowledged : 0;
  }
};

/// Grantor side of one router session: the numbered entries to send until they
/// are acknowledged, and the state from the reports.
class router_session {
public:
  struct outstanding_entry {
    grant_entry Entry;
    /// Cost charged to the team until the router's own charge is reported.
    double ProvisionalCost = 0;
  };

  router_session() = default;
  router_session(session_info Info, instant Now)
      : Info(Info), LastContactAt(Now) {}

  /// Queues an entry for the next grant. Merges slots for the same team and
  /// upstream into the newest entry if that has not been sent.
  void enqueueEntry(grant_entry Entry, double ProvisionalCost = 0);

  /// Removes and returns the entries up to this number.
  [[nodiscard]] std::vector<outstanding_entry>
  acknowledge(std::uint64_t Applied);

  /// Returns a grant if one is due, because entries are new or to be resent or
  /// a report is to be acknowledged. It holds the unacknowledged entries, 512
  /// at most.
  [[nodiscard]] std::optional<pool_grant> buildGrantIfDue(epoch Epoch,
                                                          duration ResendAfter,
                                                          duration AckDelay,
                                                          instant Now);

  [[nodiscard]] const std::deque<outstanding_entry> &entries() const {
    return Entries;
  }

  session_info Info;
  /// True once the session has sent a full report.
  bool Reported = false;
  /// True if the session existed before the grantor recovered the virtual
  /// times.
  bool PredatesRecovery = false;
  /// True while new slots may be granted to it.
  bool Reachable = false;
  /// Contended state according to the entries queued so far.
  bool Contended = false;
  /// Sequence of the newest report.
  std::uint64_t Sequence = 0;
  instant LastContactAt;
  std::optional<instant> AckPendingSince;
  std::map<upstream_id, session_upstream> Upstreams;
  std::map<team_id, session_team> Teams;

private:
  /// Number of the first entry in `Entries`, and of the last one sent.
  std::uint64_t FirstEntry = 1, LastSentEntry = 0;
  std::deque<outstanding_entry> Entries;
  instant LastSentAt;
};

} // namespace arbutus::pool

template <> struct arbutus::name_table<arbutus::pool::session_state> {
  using value = arbutus::pool::session_state;
  static constexpr name_row<value> Rows[] = {
      {value::Live, "live"},
      {value::Suspected, "suspected"},
      {value::Ended, "ended"},
  };
};

#endif
