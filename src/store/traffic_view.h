#ifndef ARBUTUS_STORE_TRAFFIC_VIEW_H
#define ARBUTUS_STORE_TRAFFIC_VIEW_H

#include "base/ids.h"
#include "store/config_replica.h"
#include "store/fleet_config.h"
#include "store/instance.h"
#include "store/rollout.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::store {

/// An instance as requests see it.
struct instance_entry {
  upstream_id Id{};
  /// Valid as long as the view.
  std::string_view Name;
  const instance *Spec = nullptr;
  /// True if the instance and its failure domain are both in service, and no
  /// rollout bars its version.
  bool Usable = false;
};

/// Names of the groups of a service's instances that requests choose from. They
/// differ from the service's name during and after a rollout.
struct service_pools {
  /// Group for all requests.
  std::string_view Main;
  /// Group for the share of requests that test a new version, else empty.
  std::string_view Canary;
};

/// Lookup tables of the fleet configuration and the discovered instances. They
/// are built once for each change. Pointers are valid as long as the view;
/// null means that there is no such object.
class traffic_view {
public:
  traffic_view() = default;
  explicit traffic_view(const config_replica &Replica);

  /// The configuration in force, or null before the first one.
  [[nodiscard]] const fleet_config *config() const noexcept { return Config; }

  /// Route of the host with the longest prefix of the path. A port in the host
  /// is ignored.
  [[nodiscard]] const traffic_route *
  matchRoute(std::string_view Host, std::string_view Path) const noexcept;

  /// Team that has this API key.
  [[nodiscard]] const traffic_team *
  teamOfKey(std::string_view Key) const noexcept;

  /// Profile of a service, also by the name of one of its pools.
  [[nodiscard]] const service_profile *
  service(std::string_view Name) const noexcept;

  /// Instances of a pool, usable or not, ordered by name.
  [[nodiscard]] const std::vector<instance_entry> &
  instances(std::string_view Pool) const noexcept;

  /// Valid as long as the view and `Service`.
  [[nodiscard]] service_pools pools(std::string_view Service) const noexcept;

  /// The latest rollout of a service, or null.
  [[nodiscard]] const rollout *
  rolloutOf(std::string_view Service) const noexcept;

  /// Services that have or had a rollout, with the latest one of each.
  [[nodiscard]] const std::map<std::string_view, const rollout *> &
  rollouts() const noexcept {
    return Rollouts;
  }

  /// True if a request with these prompt segments is refused, because it has
  /// all segments of a quarantine. Takes the hashes of the segments' ids.
  template <class Hashes>
  [[nodiscard]] bool isQuarantined(const Hashes &Segments) const {
    const auto HasSegment = [&](std::uint64_t Wanted) {
      return std::any_of(Segments.begin(), Segments.end(), [&](auto Segment) {
        return static_cast<std::uint64_t>(Segment) == Wanted;
      });
    };
    return std::any_of(
        Quarantines.begin(), Quarantines.end(), [&](const auto &Quarantine) {
          return std::all_of(Quarantine.begin(), Quarantine.end(), HasSegment);
        });
  }

  /// Pools of the services that routes or instances name, ordered by name.
  [[nodiscard]] std::vector<std::string_view> poolNames() const;

private:
  void addInstances(const config_replica &Replica);
  void addRollouts(const config_replica &Replica);
  void addQuarantines(const config_replica &Replica);
  /// Leaves only as many upstreams of a canary usable as bear its share.
  void limitCanaries();

  using prefix_map =
      std::map<std::string_view, const traffic_route *, std::greater<>>;

  std::vector<resource_ptr> Objects;
  const fleet_config *Config = nullptr;
  /// Routes of a host. A prefix sorts after all longer paths that begin with
  /// it, so that the first match in this order is the longest.
  std::unordered_map<std::string_view, prefix_map> Routes;
  std::unordered_map<std::string_view, const traffic_team *> TeamOfKey;
  std::map<std::string_view, const rollout *> Rollouts;
  /// Name of the pool of each rollout's target version, by service.
  std::map<std::string_view, std::string> TargetPools;
  std::map<std::string_view, std::vector<instance_entry>> Instances;
  /// Hashes of the segments of each quarantine; none is empty.
  std::vector<std::vector<std::uint64_t>> Quarantines;
};

} // namespace arbutus::store

#endif
