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

/// A request that is to be sent to an upstream of a service.
struct slot_wish {
  std::uint64_t RequestId = 0;
  std::string Service;
  std::string Team;
  double Cost = 1;
  std::vector<balance::prompt_block> Prompt;
  std::vector<upstream_id> Excluded;
  instant DispatchDeadline;
  instant ResponseTarget = instant::max();
};

/// What a waiting request is told, on the shard. Never called from inside
/// `request`.
struct slot_callbacks {
  std::function<void(upstream_id)> OnSend;
  /// With the time after which it is worth to come back; 0 if not known.
  std::function<void(duration RetryAfter)> OnRefused;
};

/// A router's access to the upstreams of all services: it asks the owner of a
/// cell which upstream takes a request, and decides by itself while the owner
/// does not answer. It also hosts the cells that this router owns. One shard
/// owns it and is the only user.
class slot_allocator {
public:
  /// Passes a message to another node.
  using send_function = std::function<void(node_id To, net::message_kind Kind,
                                           const std::string &Payload)>;

  /// `FirstNumber` must be larger than all numbers of an earlier life of this
  /// router.
  slot_allocator(asio::io_context &Io,
                 const rcu_snapshot<router::routing_state> &Routing,
                 node_id Self, std::uint64_t Seed, std::uint64_t FirstNumber,
                 send_function Send);
  slot_allocator(const slot_allocator &) = delete;
  slot_allocator &operator=(const slot_allocator &) = delete;

  /// Follows the configuration, instances and routers in force.
  void follow();

  /// Takes a message of another node.
  void onMessage(node_id From, net::message_kind Kind,
                 const std::string &Payload);

  /// Asks for an upstream; one of the callbacks follows unless `end` is called
  /// before.
  void request(slot_wish Wish, slot_callbacks Callbacks);
  /// Notes the first byte of an answer.
  void onFirstByte(std::uint64_t RequestId);
  /// Ends a request that waits or was sent.
  void end(std::uint64_t RequestId, balance::upstream_result Health);
  /// Takes an upstream's report of its load.
  void onLoadReport(std::string_view Service, upstream_id Upstream,
                    const balance::load_report &Load);

  /// Number of live routers, as of the last `follow`.
  [[nodiscard]] std::size_t routers() const noexcept { return Routers; }

  /// False if no upstream of the service may take the request, whatever their
  /// load.
  [[nodiscard]] bool anyUsable(std::string_view Service,
                               const std::vector<upstream_id> &Excluded) const;

private:
  enum class entry_state { Asked, Queued, Local, Sent };
  struct entry {
    slot_wish Wish;
    slot_callbacks Callbacks;
    entry_state State = entry_state::Asked;
    balance::cell_key Cell;
    /// Owner that was asked; nothing when this router decided by itself.
    std::optional<node_id> Owner;
    instant AskedAt;
    std::optional<upstream_id> Upstream;
  };
  using entry_map = std::unordered_map<std::uint64_t, entry>;

  void ask(std::uint64_t Number, entry &Entry);
  void decideLocally(std::uint64_t Number, entry &Entry);
  void onReply(node_id From, const slot_reply_message &Reply);
  void sendNow(entry &Entry, upstream_id Upstream);
  void refuse(std::uint64_t Number, duration RetryAfter);
  void tell(const entry &Entry, std::uint64_t Number, slot_event_kind Kind,
            balance::upstream_result Health);
  void tellHoldings();
  void deliver(node_id To, net::message_kind Kind, const std::string &Payload);
  void checkOwners(instant Now);
  void runLocal(instant Now);
  void armCheck();
  void armHoldings();
  [[nodiscard]] balance::request_scheduler &
  localPool(const std::string &Service);
  [[nodiscard]] entry_map::iterator find(std::uint64_t RequestId);

  asio::io_context &Io;
  const rcu_snapshot<router::routing_state> &Routing;
  asio::steady_timer CheckTimer;
  asio::steady_timer HoldingsTimer;
  node_id Self;
  std::uint64_t Seed;
  std::uint64_t LastNumber;
  send_function Send;
  bool CheckArmed = false;
  /// Entries that are not sent yet.
  std::size_t Waiting = 0;
  slot_host Host;
  std::map<std::string, std::vector<balance::cell>, std::less<>> Cells;
  /// Owners that did not answer, and until when they are not asked.
  std::map<node_id, instant> Silent;
  /// Used while an owner is silent.
  std::map<std::string, balance::request_scheduler, std::less<>> Local;
  std::map<std::string, team_id> Teams;
  std::size_t Routers = 1;
  entry_map Entries;
  std::unordered_map<std::uint64_t, std::uint64_t> NumberOfRequest;
  std::shared_ptr<const store::config_view> View;
  std::shared_ptr<const std::vector<membership::live_node>> Nodes;
};

} // namespace arbutus::traffic

#endif
