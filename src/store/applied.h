#ifndef ARBUTUS_STORE_APPLIED_H
#define ARBUTUS_STORE_APPLIED_H

#include "base/name_table.h"
#include "store/outcome.h"

#include <cstdint>
#include <vector>

namespace arbutus::store {

enum class apply_status : int {
  Applied,
  /// The entry's index is not above the last applied one; nothing was done.
  AlreadyApplied,
  /// The entry cannot be decoded; only the applied index advanced.
  Malformed,
  /// The entry was written by a newer program. Nothing was done, and the voter
  /// must not apply later entries, because its state would differ.
  UnsupportedVersion,
};

/// Result of one log entry.
struct applied {
  apply_status Status = apply_status::Applied;
  std::uint64_t Index = 0;
  /// Store revision after the entry.
  revision Revision{};
  /// One outcome per command of the batch, in order.
  std::vector<command_outcome> Outcomes;
};

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::apply_status> {
  static constexpr name_row<store::apply_status> Rows[] = {
      {store::apply_status::Applied, "applied"},
      {store::apply_status::AlreadyApplied, "already_applied"},
      {store::apply_status::Malformed, "malformed"},
      {store::apply_status::UnsupportedVersion, "unsupported_version"},
  };
};

} // namespace arbutus

#endif
