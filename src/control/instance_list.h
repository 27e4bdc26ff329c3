#ifndef ARBUTUS_CONTROL_INSTANCE_LIST_H
#define ARBUTUS_CONTROL_INSTANCE_LIST_H

#include "base/clock.h"
#include "store/commands.h"

#include <vector>

namespace arbutus::control {

/// A complete read of the platform's list of instances.
struct instance_list {
  /// When the read began: the list is at least as recent as this.
  instant ReadAt;
  std::vector<store::named_instance> Instances;
};

} // namespace arbutus::control

#endif
