#ifndef ARBUTUS_TRAFFIC_SLOT_HOST_H
#define ARBUTUS_TRAFFIC_SLOT_HOST_H

#include "balance/cell_map.h"
#include "balance/request_scheduler.h"
#include "traffic/cell_usage.h"
#include "traffic/slot_messages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutus::traffic {

/// Schedules the requests of the cells that this router owns. Not thread-safe;
/// the current time is always an argument.
class slot_host {
public:
  using send_function =
      std::function<void(node_id To, const slot_reply_message &Reply)>;

  slot_host(std::uint64_t Seed, send_function Send)
      : Seed(Seed), Send(std::move(Send)) {}

  /// Replaces the set of owned cells. Requests that wait in a cell that is no
  /// longer owned get the reply `NotOwner`.
  void setOwnedCells(const std::vector<balance::cell> &Cells, instant Now);

  /// Releases the slots and cancels the waiting requests of routers that are
  /// not in `Live`.
  void releaseDepartedRouters(const std::set<node_id> &Live, instant Now);

  void onRequest(node_id From, const slot_request_message &Request,
                 instant Now);
  void onEvents(node_id From, const slot_events_message &Message, instant Now);

  /// Sends replies for requests that can be sent or have expired. Must be
  /// called after events and every few milliseconds while `waitingCount` is not
  /// zero.
  void dispatchAll(instant Now);

  [[nodiscard]] std::size_t waitingCount() const noexcept;
  [[nodiscard]] std::size_t ownedCellCount() const noexcept {
    return Cells.size();
  }

private:
  using remote_request = std::pair<node_id, std::uint64_t>;
  /// A request of a router that waits or is in flight in a cell.
  struct hosted_request {
    remote_request Remote;
    /// Empty if the request was sent under the previous owner of the cell.
    std::string Team;
    double Cost = 0;
  };
  struct hosted_cell {
    explicit hosted_cell(std::uint64_t Seed) : Scheduler(Seed) {}
    balance::request_scheduler Scheduler;
    /// Ids in the scheduler by router and its request number, and the inverse.
    std::map<remote_request, std::uint64_t> IdByRemote;
    std::unordered_map<std::uint64_t, hosted_request> RequestById;
    cell_usage Usage;
  };

  /// Replies to a slot request of this cell.
  void reply(const hosted_cell &Cell, slot_reply_message Reply, node_id To);
  void applyEvent(hosted_cell &Cell, node_id From, const slot_event &Event,
                  instant Now);
  void recordRateLimit(hosted_cell &Cell, std::uint64_t Id,
                       const slot_event &Event, instant Now);
  void mergeRateLimits(hosted_cell &Cell, const slot_events_message &Message,
                       instant Now);
  void releaseUnlisted(hosted_cell &Cell, node_id From,
                       const std::vector<slot_event> &InUseEvents, instant Now);
  std::uint64_t getOrAssignId(hosted_cell &Cell, const remote_request &Key);
  void eraseRequest(hosted_cell &Cell, std::uint64_t Id);
  void refuseOnArrival(hosted_cell &Cell,
                       const balance::queued_request &Request, instant Now);
  void dispatchCell(hosted_cell &Cell, instant Now);
  team_id getOrAssignTeamId(const std::string &Team);

  std::uint64_t Seed;
  send_function Send;
  std::uint64_t LastId = 0;
  std::map<balance::cell_key, std::unique_ptr<hosted_cell>> Cells;
  std::map<std::string, team_id> Teams;
};

} // namespace arbutus::traffic

#endif
