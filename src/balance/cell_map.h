#ifndef ARBUTUS_BALANCE_CELL_MAP_H
#define ARBUTUS_BALANCE_CELL_MAP_H

#include "balance/upstream_load.h"
#include "base/ids.h"
#include "membership/node_session.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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
  /// Number of upstreams that are usable.
  std::size_t UsableCount = 0;
  /// Failure domain of the upstreams; empty if the cell has those of all.
  std::string FailureDomain;
  /// Router that schedules the cell; nothing while no eligible router is live.
  std::optional<node_id> Owner;
};

/// Divides the upstreams of a service into cells and assigns an owner to each.
/// The result is the same on every router that sees the same upstreams and
/// nodes. A change of these moves as few upstreams and cells as possible. The
/// owner is in the failure domain of the cell while a router there is eligible.
[[nodiscard]] std::vector<cell>
assignCells(std::string_view Service,
            const std::vector<upstream_info> &Upstreams,
            const std::vector<membership::live_node> &Nodes);

/// True if a cell is acceptable for a request.
using cell_filter = std::function<bool(const cell &)>;

/// Selects the cell for a request. Requests with the same affinity get the same
/// cell; different ones are spread in proportion to the usable upstreams of the
/// cells. Returns nullptr if no acceptable cell has a usable upstream.
[[nodiscard]] const cell *chooseCell(
    const std::vector<cell> &Cells, std::uint64_t Affinity,
    const cell_filter &Accept = [](const cell &) { return true; });

/// Selects the cell for a request whose body should stay in its failure domain.
/// `BusyShare` is the share of a cell's upstreams that had no capacity lately;
/// the nearer it comes to 1, the more requests go to cells of other domains.
/// Those with the same affinity go the same way. Selects among all cells if
/// those of the domain have no usable upstream.
[[nodiscard]] const cell *
chooseNearCell(const std::vector<cell> &Cells, std::uint64_t Affinity,
               std::string_view FailureDomain,
               const std::function<double(const cell &)> &BusyShare);

} // namespace arbutus::balance

#endif
