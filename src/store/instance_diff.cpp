#include "store/instance_diff.h"

#include <map>
#include <string_view>

namespace arbutus::store {

std::optional<sync_instances_command>
diffInstances(const std::vector<resource_ptr> &Stored,
              const std::vector<named_instance> &Found) {
  std::map<std::string_view, const instance *> Missing;
  for (const auto &Object : Stored) {
    Missing.emplace(Object->Name, Object->as<instance>());
  }
  sync_instances_command Sync;
  for (const auto &Entry : Found) {
    const auto Known = Missing.find(Entry.Name);
    const bool Same = Known != Missing.end() && *Known->second == Entry.Spec;
    if (Known != Missing.end()) {
      Missing.erase(Known);
    }
    if (!Same) {
      Sync.Changed.push_back(Entry);
    }
  }
  for (const auto &[Name, Spec] : Missing) {
    Sync.Gone.emplace_back(Name);
  }
  if (Sync.Changed.empty() && Sync.Gone.empty()) {
    return std::nullopt;
  }
  return Sync;
}

} // namespace arbutus::store
