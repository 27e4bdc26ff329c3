#ifndef ARBUTUS_STORE_INSTANCE_DIFF_H
#define ARBUTUS_STORE_INSTANCE_DIFF_H

#include "store/commands.h"
#include "store/resource.h"

#include <optional>
#include <vector>

namespace arbutus::store {

/// Command that brings the stored instances to what discovery has found, or
/// nothing if they are the same.
[[nodiscard]] std::optional<sync_instances_command>
diffInstances(const std::vector<resource_ptr> &Stored,
              const std::vector<named_instance> &Found);

} // namespace arbutus::store

#endif
