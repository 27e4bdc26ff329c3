#ifndef ARBUTUS_STORE_CONFIG_SOURCE_H
#define ARBUTUS_STORE_CONFIG_SOURCE_H

#include "store/config_update.h"
#include "store/resource.h"
#include "store/state_machine.h"

#include <cstddef>
#include <vector>

namespace arbutus::store {

/// Makes configuration updates for replicas from the leader's state. One
/// source serves all nodes; it keeps at most one full list, whose objects it
/// shares with the state.
class config_source {
public:
  /// The next update for a replica at `Since`, whose serialized form has at
  /// most `MaxBytes` or holds a single object. It is empty if the replica is
  /// not behind. A replica that is older than the kept history gets parts of a
  /// full list.
  [[nodiscard]] config_update makeUpdate(const state_machine &Store,
                                         const config_position &Since,
                                         std::size_t MaxBytes);
  /// The same for a replica that receives no full list at present.
  [[nodiscard]] config_update makeUpdate(const state_machine &Store,
                                         revision Since, std::size_t MaxBytes) {
    return makeUpdate(Store, config_position{Since, {}, 0}, MaxBytes);
  }

private:
  [[nodiscard]] config_update listPart(std::size_t Offset,
                                       std::size_t MaxBytes) const;
  [[nodiscard]] bool listIsRecent(const state_machine &Store) const;
  void makeList(const state_machine &Store);

  std::vector<resource_ptr> List;
  /// Serialized size of each object of the list.
  std::vector<std::size_t> Sizes;
  revision ListRevision{};
};

} // namespace arbutus::store

#endif
