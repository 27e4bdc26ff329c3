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

/// One node session as the control leader sees it.
struct session_info {
  node_id Node{};
  incarnation Incarnation{};
  session_state State = session_state::Live;
};

/// A router's share in an upstream, as the grantor knows it.
struct session_upstream {
  struct sample {
    instant At;
    std::uint32_t LeastInFlight = 0;
  };

  upstream_usage Usage;
  /// Granted, not yet acknowledged.
  std::uint32_t OnTheWay = 0;
  /// Recent least in-flight counts, oldest first.
  std::deque<sample> Samples;
  std::uint64_t DispatchedBefore = 0;
  double RecentUse = 0;
  /// True between a recall and the next reserve.
  bool Recalled = false;

  /// Slots that the router holds or will hold.
  [[nodiscard]] std::uint32_t held() const { return Usage.Held + OnTheWay; }
  /// Least in-flight count known at any time in [From, To].
  [[nodiscard]] std::uint32_t leastWithin(instant From, instant To) const;
};

/// A router's demand of one team, as the grantor knows it.
struct session_team {
  team_usage Usage;
  std::uint32_t OnTheWay = 0;

  [[nodiscard]] std::uint32_t demand() const {
    return Usage.Waiting > OnTheWay ? Usage.Waiting - OnTheWay : 0;
  }
};

/// Numbered entries that go to one router session until it acknowledges them,
/// and what its reports say.
class router_session {
public:
  struct sent_entry {
    grant_entry Entry;
    /// Cost charged to the team until the router's own charge is reported.
    double Provisional = 0;
  };

  router_session() = default;
  router_session(session_info Member, instant Now)
      : Member(Member), LastContactAt(Now) {}

  /// Queues an entry for the next frame. Slots of the same team and upstream
  /// that have not been sent yet are joined.
  void push(grant_entry Entry, double Provisional = 0);

  /// Drops the entries up to this number and returns them.
  [[nodiscard]] std::vector<sent_entry> acknowledge(std::uint64_t Applied);

  /// Returns a frame with all unacknowledged entries if one is due: new
  /// entries, entries to resend, or a report to acknowledge.
  [[nodiscard]] std::optional<pool_grant>
  frame(epoch Epoch, duration ResendAfter, duration AckDelay, instant Now);

  [[nodiscard]] const std::deque<sent_entry> &entries() const {
    return Entries;
  }

  session_info Member;
  bool Reported = false;
  /// True if the session is older than the grantor's picture of virtual times.
  bool Early = false;
  /// True while new slots may be granted to it.
  bool Reachable = false;
  /// Mode that the entries pushed so far have told it.
  bool Contended = false;
  /// Sequence of the newest report.
  std::uint64_t Sequence = 0;
  instant LastContactAt;
  std::optional<instant> AckOwedSince;
  std::map<upstream_id, session_upstream> Upstreams;
  std::map<team_id, session_team> Teams;

private:
  /// Number of the first entry in `Entries`, and of the last one sent.
  std::uint64_t First = 1, Sent = 0;
  std::deque<sent_entry> Entries;
  instant LastSent;
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
