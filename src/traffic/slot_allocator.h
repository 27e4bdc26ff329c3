#ifndef ARBUTUS_TRAFFIC_SLOT_ALLOCATOR_H
#define ARBUTUS_TRAFFIC_SLOT_ALLOCATOR_H

#include "balance/cell_map.h"
#include "balance/request_scheduler.h"
#include "base/rcu_snapshot.h"
#include "net/message_kind.h"
#include "router/routing_state.h"
#include "traffic/slot_host.h"
#include "traffic/slot_messages.h"
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::traffic {

/// A request that needs a slot at an upstream of a service.
struct slot_request {
  std::uint64_t RequestId = 0;
  /// Name of the service's pool of instances, see `store::service_pools`.
  std::string Service;
  std::string Team;
  double Cost = 1;
  std::vector<balance::prompt_block> Prompt;
  std::vector<upstream_id> Excluded;
  instant DispatchDeadline;
  instant ResponseTarget = instant::max();
};

/// A slot request that was refused.
struct slot_refusal {
  refusal_reason Reason = refusal_reason::Unknown;
  /// Time after which a new attempt may succeed; 0 if unknown.
  duration RetryAfter{};
  /// The busy upstream that an expired request was queued for; 0 if unknown.
  upstream_id Preferred{};
};

/// Callbacks of a slot request. At most one is called, on the shard and never
/// from inside `acquire`.
struct slot_callbacks {
  std::function<void(upstream_id)> OnGranted;
  std::function<void(const slot_refusal &)> OnRefused;
};

/// Obtains slots at the upstreams of all services for the requests of one
/// router. It sends a slot request to the owner of the cell and falls back to a
/// scheduler of its own while the owner does not reply. It also schedules the
/// cells that this router owns. Owned and used by a single shard.
class slot_allocator {
public:
  /// Sends a message to another node.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  /// Request numbers follow `SequenceStart`. Other processes of this router
  /// must not use them, because replies name only the number.
  slot_allocator(asio::io_context &Io,
                 const rcu_snapshot<router::routing_state> &Routing,
                 node_id Self, std::uint64_t Seed, std::uint64_t SequenceStart,
                 send_function Send);
  slot_allocator(const slot_allocator &) = delete;
  slot_allocator &operator=(const slot_allocator &) = delete;

  /// Applies the current configuration, instances and nodes if they have
  /// changed.
  void refreshRouting();

  /// Handles a message from another node; malformed messages are ignored.
  void onMessage(node_id From, net::message_kind Kind,
                 const std::string &Payload);

  /// Requests a slot. One of the callbacks follows, unless `release` is called
  /// before.
  void acquire(slot_request Request, slot_callbacks Callbacks);
  /// Records the first byte of the response.
  void onFirstByte(std::uint64_t RequestId);
  /// Cancels a waiting request, or releases the slot of a request that was
  /// sent. Unknown ids are ignored.
  void release(std::uint64_t RequestId, balance::upstream_result Result);
  /// Records the rate limit in the answer to a request that was sent at
  /// `SentAt`; nothing if the answer names none. Returns true if the limit that
  /// this router knows changes.
  bool onRateLimit(std::uint64_t RequestId, std::optional<double> PerSecond,
                   instant SentAt);
  /// Records a load report of an upstream.
  void onLoadReport(std::string_view Service, upstream_id Upstream,
                    const balance::load_report &Load);

  /// Mean share of busy upstreams over the cells of a pool, as far as their
  /// owners have told it lately.
  [[nodiscard]] double busyShare(std::string_view Pool) const;

  /// Number of live routers as of the last `refreshRouting`.
  [[nodiscard]] std::size_t liveRouterCount() const noexcept {
    return LiveRouters;
  }

  /// True if the service has a usable upstream that is not excluded, whatever
  /// its load.
  [[nodiscard]] bool
  hasUsableUpstream(std::string_view Service,
                    const std::vector<upstream_id> &Excluded) const;

private:
  enum class slot_state {
    AwaitingOwner,
    QueuedByOwner,
    QueuedLocally,
    Granted
  };
  struct slot_entry {
    slot_request Request;
    slot_callbacks Callbacks;
    slot_state State = slot_state::AwaitingOwner;
    balance::cell_key Cell;
    /// Cell owner that received the slot request; nothing if the request was
    /// scheduled locally.
    std::optional<node_id> Owner;
    instant RequestedAt;
    std::optional<upstream_id> Upstream;
    /// Rate limit in the answer that the owner has not been told yet, as in
    /// `slot_event`.
    double RateLimit = UnknownRateLimit;
  };
  using slot_entry_map = std::unordered_map<std::uint64_t, slot_entry>;

  /// What this router knows of a cell from its own requests.
  struct cell_contact {
    /// Share of busy upstreams in the owner's latest reply.
    double BusyShare = 0;
    instant RepliedAt;
    /// Time of the latest slot request.
    instant RequestedAt;
  };

  [[nodiscard]] const balance::cell *selectCell(const slot_request &Request,
                                                instant Now) const;
  [[nodiscard]] double busyShare(const balance::cell &Cell, instant Now) const;
  /// True if the owner of the cell may hold state of this router's requests.
  [[nodiscard]] bool wasUsedLately(const balance::cell_key &Cell,
                                   instant Now) const;
  void requestFromOwner(std::uint64_t Number, slot_entry &Entry);
  void scheduleLocally(std::uint64_t Number, slot_entry &Entry);
  void onReply(node_id From, const slot_reply_message &Reply);
  void grantSlot(slot_entry &Entry, upstream_id Upstream);
  void refuse(std::uint64_t Number, const slot_refusal &Refusal);
  void sendSlotEvent(slot_entry &Entry, std::uint64_t Number,
                     slot_event_kind Kind, balance::upstream_result Result);
  void sendSlotSnapshots();
  [[nodiscard]] std::vector<named_rate_limit>
  knownRateLimits(const balance::cell &Cell, instant Now) const;
  void sendMessage(node_id To, net::message_kind Kind,
                   const std::string &Payload);
  void expireOwnerRequests(instant Now);
  void dispatchLocally(instant Now);
  void startCheckTimer();
  void startSnapshotTimer();
  [[nodiscard]] balance::request_scheduler &
  localScheduler(const std::string &Service);
  [[nodiscard]] slot_entry_map::iterator find(std::uint64_t RequestId);

  asio::io_context &Io;
  const rcu_snapshot<router::routing_state> &Routing;
  asio::steady_timer CheckTimer;
  asio::steady_timer SnapshotTimer;
  node_id Self;
  std::uint64_t Seed;
  std::uint64_t LastNumber;
  send_function Send;
  bool CheckTimerRunning = false;
  /// Number of entries without a slot.
  std::size_t UngrantedCount = 0;
  slot_host CellHost;
  std::map<std::string, std::vector<balance::cell>, std::less<>> Cells;
  /// Failure domain of this router; empty while the fleet does not list it.
  std::string FailureDomain;
  /// Cells that this router has sent requests to.
  std::map<balance::cell_key, cell_contact> CellContacts;
  /// Owners that did not reply. No slot requests are sent to them before this
  /// time.
  std::map<node_id, instant> UnresponsiveUntil;
  /// One scheduler per service, used while the cell owner does not reply.
  std::map<std::string, balance::request_scheduler, std::less<>>
      LocalSchedulers;
  std::map<std::string, team_id> Teams;
  std::size_t LiveRouters = 1;
  slot_entry_map Entries;
  std::unordered_map<std::uint64_t, std::uint64_t> NumberByRequestId;
  std::shared_ptr<const store::config_view> View;
  std::shared_ptr<const std::vector<membership::live_node>> Nodes;
};

} // namespace arbutus::traffic

#endif
