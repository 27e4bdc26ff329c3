#ifndef ARBUTUS_BALANCE_CELL_MAP_H
#define ARBUTUS_BALANCE_CELL_MAP_H

#include "balance/upstream_load.h"
#include "base/ids.h"
#include "membership/node_session.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace arbutus::balance {

/// Identifies a cell of a service.
struct cell_key {
  std::string Service;
  std::uint32_t Index = 0;

  bool operator==(const cell_key &) const = default;
  bool operator<(const cell_key &Other) const noexcept {
    return std::tie(Service, Index) < std::tie(Other.Service, Other.Index);
  }
};

/// A group of upstreams of one service whose requests are all scheduled by one
/// router, the cell owner. The owner therefore knows the exact load of these
/// upstreams.
struct cell {
  cell_key Key;
  std::vector<upstream_info> Upstreams;
  /// Router that schedules the cell; nothing while no eligible router is live.
  std::optional<node_id> Owner;
};

/// Divides the upstreams of a service into cells and assigns an owner to each.
/// The result is the same on every router that sees the same upstreams and
/// nodes. A change of these moves as few upstreams and cells as possible.
[[nodiscard]] std::vector<cell>
assignCells(std::string_view Service,
            const std::vector<upstream_info> &Upstreams,
            const std::vector<membership::live_node> &Nodes);

/// Selects the cell for a request. Requests with the same affinity get the same
/// cell; different ones are spread in proportion to the usable upstreams of the
/// cells. Returns nullptr if no cell has a usable upstream.
[[nodiscard]] const cell *chooseCell(const std::vector<cell> &Cells,
                                     std::uint64_t Affinity);

} // namespace arbutus::balance

#endif
