#ifndef ARBUTUS_TRAFFIC_SLOT_HOST_H
#define ARBUTUS_TRAFFIC_SLOT_HOST_H

#include "balance/cell_map.h"
#include "balance/request_scheduler.h"
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

/// Decides on the requests of the cells that this router owns. Not thread-safe;
/// every time is an argument.
class slot_host {
public:
  using send_function =
      std::function<void(node_id To, const slot_reply_message &Reply)>;

  slot_host(std::uint64_t Seed, send_function Send)
      : Seed(Seed), Send(std::move(Send)) {}

  /// Takes over and gives up cells. Requests that wait in a cell that is given
  /// up are told so.
  void own(const std::vector<balance::cell> &Cells, instant Now);

  /// Frees what routers hold that are gone.
  void keepSenders(const std::set<node_id> &Live, instant Now);

  void onRequest(node_id From, const slot_request_message &Request,
                 instant Now);
  void onEvents(node_id From, const slot_events_message &Message, instant Now);

  /// Sends what has become due. Call it after events and every few
  /// milliseconds while `waiting` is not zero.
  void run(instant Now);

  [[nodiscard]] std::size_t waiting() const noexcept;
  [[nodiscard]] std::size_t owned() const noexcept { return Cells.size(); }

private:
  using owner_key = std::pair<node_id, std::uint64_t>;
  struct hosted_cell {
    explicit hosted_cell(std::uint64_t Seed) : Pool(Seed) {}
    balance::request_scheduler Pool;
    /// Requests by sender and number, and back by the pool's own number.
    std::map<owner_key, std::uint64_t> Numbers;
    std::unordered_map<std::uint64_t, owner_key> Senders;
  };

  void apply(hosted_cell &Cell, node_id From, const slot_event &Event,
             instant Now);
  void freeMissing(hosted_cell &Cell, node_id From,
                   const std::vector<slot_event> &Held, instant Now);
  std::uint64_t numberOf(hosted_cell &Cell, const owner_key &Key);
  void forget(hosted_cell &Cell, std::uint64_t Id);
  void runCell(hosted_cell &Cell, instant Now);
  team_id teamNumber(const std::string &Team);

  std::uint64_t Seed;
  send_function Send;
  std::uint64_t LastId = 0;
  std::map<balance::cell_key, std::unique_ptr<hosted_cell>> Cells;
  std::map<std::string, team_id> Teams;
};

} // namespace arbutus::traffic

#endif
