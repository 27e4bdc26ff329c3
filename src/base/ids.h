#ifndef ARBUTUS_BASE_IDS_H
#define ARBUTUS_BASE_IDS_H

#include <cstdint>
#include <type_traits>

namespace arbutus {

/// Identifies a team. The store assigns it at creation and never reuses it.
enum class team_id : std::uint32_t {};

/// Identifies an upstream. The store assigns it at creation and never reuses
/// it.
enum class upstream_id : std::uint32_t {};

/// Identifies a pool; equal to the id of its service.
enum class pool_id : std::uint32_t {};

/// Identifies an arbutustack process. It comes from the settings and is unique
/// in the fleet.
enum class node_id : std::uint32_t {};

/// Number of one start of a node; increases with every restart and every lost
/// session.
enum class incarnation : std::uint64_t {};

/// Generation of a pool's grantor; increases with every reassignment.
enum class epoch : std::uint64_t {};

/// Version of the configuration; increases with every committed change.
enum class revision : std::uint64_t {};

/// Returns the underlying value of an enumeration.
template <class Id> [[nodiscard]] constexpr auto number(Id Value) noexcept {
  static_assert(std::is_enum_v<Id>);
  return static_cast<std::underlying_type_t<Id>>(Value);
}

} // namespace arbutus

#endif
