#ifndef ARBUTUS_STORE_CONFIG_VIEW_H
#define ARBUTUS_STORE_CONFIG_VIEW_H

#include "store/config_replica.h"
#include "store/resource.h"
#include "store/traffic_view.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::store {

/// An upstream as a member of one pool.
struct pool_member {
  upstream_id Id{};
  /// Name, address and failure domain; valid as long as the view.
  std::string_view Name;
  std::string_view Address;
  std::string_view FailureDomain;
  /// Most concurrent requests that the upstream declares to bear.
  std::uint32_t MaxLimit = 0;
  /// Limit of concurrent requests when the upstream starts cold, at most the
  /// ceiling.
  std::uint32_t FirstLimit = 0;
  /// Slots per second of healthy use that slow start adds.
  double Growth = 0;
  /// Requests that must complete before the limit of a cold upstream grows.
  std::uint32_t WarmRequests = 0;
  /// True if the upstream and its failure domain are both `in`. New work goes
  /// to usable members only.
  bool Usable = false;
};

/// How a call of a service is treated.
struct route_match {
  bool Idempotent = false;
  std::uint32_t DeadlineMs = 0;
};

/// A service with its pool.
struct service_entry {
  pool_id Pool{};
  std::string_view Name;
  /// The service's fields; valid as long as the view.
  const service *Spec = nullptr;
  /// Node that grants slots, 0 while none is assigned, and its epoch.
  node_id Grantor{};
  incarnation GrantorIncarnation{};
  epoch Epoch{};
  /// Upstreams ordered by number, usable or not.
  std::vector<pool_member> Members;

  /// The route with the longest matching prefix, or nothing. `Path` is the
  /// path within the service; a query is ignored. A path with an escape, an
  /// empty segment or a dot segment never counts as idempotent, because the
  /// upstream may resolve it to a path of another route.
  [[nodiscard]] std::optional<route_match>
  match(std::string_view Method, std::string_view Path) const noexcept;
};

/// A team with the services that it may use.
struct team_entry {
  team_id Id{};
  std::string_view Name;
  /// The team's fields; valid as long as the view.
  const team *Spec = nullptr;

  /// True if the team may use the service of this name.
  [[nodiscard]] bool mayUse(std::string_view Service) const noexcept;
};

/// Immutable lookup tables for the request path. It is built once for every
/// change of the replica and shares the objects with it. Pointers that it
/// returns are valid as long as the view; null means that there is no such
/// object.
class config_view {
public:
  config_view() = default;
  explicit config_view(const config_replica &Replica);
  config_view(const config_view &) = delete;
  config_view &operator=(const config_view &) = delete;

  [[nodiscard]] revision currentRevision() const noexcept { return Revision; }

  /// Team that has this API key; `KeyHash` is the key's lower-case hexadecimal
  /// SHA-256.
  [[nodiscard]] const team_entry *
  teamByKeyHash(std::string_view KeyHash) const noexcept;
  [[nodiscard]] const team_entry *teamById(team_id Id) const noexcept;
  [[nodiscard]] const service_entry *
  serviceByName(std::string_view Name) const noexcept;
  [[nodiscard]] const service_entry *
  serviceByModel(std::string_view Model) const noexcept;
  [[nodiscard]] const service_entry *serviceByPool(pool_id Id) const noexcept;

  [[nodiscard]] const std::vector<team_entry> &teams() const noexcept {
    return Teams;
  }
  [[nodiscard]] const std::vector<service_entry> &services() const noexcept {
    return Services;
  }
  /// Fleet-wide values; defaults while no policy object exists.
  [[nodiscard]] const policy &policyValues() const noexcept { return Policy; }
  /// Routes by host and path, with the instances that discovery has found.
  [[nodiscard]] const traffic_view &traffic() const noexcept { return Traffic; }

private:
  template <class Key> using index = std::unordered_map<Key, std::uint32_t>;

  void addTeams(const config_replica &Replica);
  void addServices(const config_replica &Replica);
  void addMembers(const config_replica &Replica);

  std::vector<resource_ptr> Objects;
  std::vector<team_entry> Teams;
  std::vector<service_entry> Services;
  index<std::string_view> TeamOfKey;
  index<std::uint32_t> TeamOfId;
  index<std::string_view> ServiceOfName;
  index<std::string_view> ServiceOfModel;
  index<std::uint32_t> ServiceOfPool;
  policy Policy;
  traffic_view Traffic;
  revision Revision{};
};

} // namespace arbutus::store

#endif
