#ifndef ARBUTUS_STORE_CONFIG_REPLICA_H
#define ARBUTUS_STORE_CONFIG_REPLICA_H

#include "base/name_table.h"
#include "base/result.h"
#include "store/config_update.h"
#include "store/resource.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace arbutus::store {

enum class replica_error_code : int {
  /// The update continues a later position: ask again from `position()`.
  Gap,
  /// The update has nothing that is newer than the revision in force.
  Stale,
  /// The update contradicts itself; nothing was changed.
  Malformed,
};

/// Why an update was not accepted.
struct replica_error {
  replica_error_code Code = replica_error_code::Gap;
  /// Where the replica is, to ask again from.
  config_position Position;
  std::string Message;
};

/// A router's copy of the resources. It accepts only what continues its own
/// revision or a newer full list, so that it never goes back.
class config_replica {
public:
  /// Applies an update completely or not at all. Returns true if the resources
  /// in force changed, false for a part of a full list that is not complete.
  [[nodiscard]] result<bool, replica_error> apply(const config_update &Update);

  /// Revision in force, 0 before the first update.
  [[nodiscard]] revision currentRevision() const noexcept {
    return Position.Revision;
  }
  /// From where to ask for the next update.
  [[nodiscard]] const config_position &position() const noexcept {
    return Position;
  }
  /// The resources in force, ordered by kind and name.
  [[nodiscard]] const std::map<object_key, resource_ptr> &
  objects() const noexcept {
    return Objects;
  }
  /// The object of this key, or null.
  [[nodiscard]] resource_ptr find(const object_key &Key) const;

private:
  result<bool, replica_error> applyChanges(const config_update &Update);
  result<bool, replica_error> applyListPart(const config_update &Update);
  replica_error error(replica_error_code Code, std::string Message) const;
  void dropList() noexcept;

  std::map<object_key, resource_ptr> Objects;
  std::vector<resource_ptr> List;
  config_position Position;
};

} // namespace arbutus::store

namespace arbutus {

template <> struct name_table<store::replica_error_code> {
  static constexpr name_row<store::replica_error_code> Rows[] = {
      {store::replica_error_code::Gap, "gap"},
      {store::replica_error_code::Stale, "stale"},
      {store::replica_error_code::Malformed, "malformed"},
  };
};

} // namespace arbutus

#endif
