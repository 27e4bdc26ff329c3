#ifndef ARBUTUS_BASE_IDS_H
#define ARBUTUS_BASE_IDS_H

#include <cstdint>
#include <type_traits>

namespace arbutus {

/// Number of a team. The store assigns it at creation and never reuses it.
enum class team_id : std::uint32_t {};

/// Number of an upstream. The store assigns it at creation and never reuses it.
enum class upstream_id : std::uint32_t {};

/// Number of a pool, equal to the number of the service that it serves.
enum class pool_id : std::uint32_t {};

/// Number of an arbutustack process. It comes from the settings and is unique
/// in the fleet.
enum class node_id : std::uint32_t {};

/// Distinguishes two lives of one process: larger after every restart.
enum class incarnation : std::uint64_t {};

/// Generation of a pool's grantor, larger after every reassignment.
enum class epoch : std::uint64_t {};

/// Position in the sequence of accepted configuration changes.
enum class revision : std::uint64_t {};

/// Returns the plain number behind a strong id.
template <class Id> [[nodiscard]] constexpr auto number(Id Value) noexcept {
  static_assert(std::is_enum_v<Id>);
  return static_cast<std::underlying_type_t<Id>>(Value);
}

} // namespace arbutus

#endif
