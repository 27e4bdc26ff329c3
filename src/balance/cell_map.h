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

/// Names a cell of a service.
struct cell_key {
  std::string Service;
  std::uint32_t Index = 0;

  bool operator==(const cell_key &) const = default;
  bool operator<(const cell_key &Other) const noexcept {
    return std::tie(Service, Index) < std::tie(Other.Service, Other.Index);
  }
};

/// Upstreams of one service whose requests one router decides on, so that it
/// knows their load exactly.
struct cell {
  cell_key Key;
  std::vector<upstream_info> Upstreams;
  /// Router that decides; nothing while none is live.
  std::optional<node_id> Owner;
};

/// Divides the upstreams of a service into cells and gives each an owner. Every
/// router that sees the same upstreams and nodes gets the same result; a change
/// moves as few upstreams and cells as it can.
[[nodiscard]] std::vector<cell>
assignCells(std::string_view Service,
            const std::vector<upstream_info> &Upstreams,
            const std::vector<membership::live_node> &Nodes);

/// Cell that takes a request: by what its prompt shares with others, else by
/// the request itself. Nothing if no cell has a usable upstream.
[[nodiscard]] const cell *chooseCell(const std::vector<cell> &Cells,
                                     std::uint64_t Affinity);

} // namespace arbutus::balance

#endif
