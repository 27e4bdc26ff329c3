#include "store/traffic_view.h"

#include <algorithm>
#include <set>

namespace arbutus::store {

namespace {

std::string_view withoutPort(std::string_view Host) noexcept {
  return Host.substr(0, Host.rfind(':'));
}

bool isDomainIn(const config_replica &Replica, const std::string &Name) {
  const auto Domain = Replica.find({resource_kind::FailureDomain, Name});
  return !Domain || Domain->as<failure_domain>()->State == domain_state::In;
}

} // namespace

traffic_view::traffic_view(const config_replica &Replica) {
  if (auto Object = Replica.find(
          {resource_kind::Configuration, std::string(FleetConfigName)})) {
    Config = Object->as<fleet_config>();
    Objects.push_back(std::move(Object));
    for (const auto &Route : Config->Routes) {
      Routes[Route.Host].emplace(Route.PathPrefix, &Route);
    }
    for (const auto &Team : Config->Teams) {
      for (const auto &Key : Team.Keys) {
        TeamOfKey.emplace(Key, &Team);
      }
    }
  }
  const auto &Known = Replica.objects();
  for (auto I = Known.lower_bound({resource_kind::Instance, {}});
       I != Known.end() && I->first.Kind == resource_kind::Instance; ++I) {
    const auto &Object = I->second;
    const auto *Spec = Object->as<instance>();
    const bool Usable = Spec->State == upstream_state::In &&
                        isDomainIn(Replica, Spec->FailureDomain);
    Instances[Spec->Service].push_back(
        {upstream_id{Object->Number}, Object->Name, Spec, Usable});
    Objects.push_back(Object);
  }
  for (auto I = Known.lower_bound({resource_kind::Quarantine, {}});
       I != Known.end() && I->first.Kind == resource_kind::Quarantine; ++I) {
    std::vector<std::uint64_t> Hashes;
    for (const auto &Name : I->second->as<quarantine>()->Segments) {
      // A name that cannot be read is of no segment; the request hashes are
      // compared with, so leaving it out would refuse more than was meant.
      Hashes.push_back(segmentHash(Name).value_or(0));
    }
    if (!Hashes.empty()) {
      Quarantines.push_back(std::move(Hashes));
    }
  }
}

const traffic_route *
traffic_view::matchRoute(std::string_view Host,
                         std::string_view Path) const noexcept {
  auto Found = Routes.find(Host);
  if (Found == Routes.end()) {
    Found = Routes.find(withoutPort(Host));
  }
  if (Found == Routes.end()) {
    return nullptr;
  }
  const auto &Prefixes = Found->second;
  for (auto I = Prefixes.lower_bound(Path); I != Prefixes.end(); ++I) {
    if (Path.starts_with(I->first)) {
      return I->second;
    }
  }
  return nullptr;
}

const traffic_team *
traffic_view::teamOfKey(std::string_view Key) const noexcept {
  const auto Found = TeamOfKey.find(Key);
  return Found == TeamOfKey.end() ? nullptr : Found->second;
}

const service_profile *
traffic_view::service(std::string_view Name) const noexcept {
  if (Config == nullptr) {
    return nullptr;
  }
  const auto Found =
      std::find_if(Config->Services.begin(), Config->Services.end(),
                   [&](const auto &Known) { return Known.Name == Name; });
  return Found == Config->Services.end() ? nullptr : &*Found;
}

const std::vector<instance_entry> &
traffic_view::instances(std::string_view Service) const noexcept {
  static const std::vector<instance_entry> None;
  const auto Found = Instances.find(Service);
  return Found == Instances.end() ? None : Found->second;
}

std::vector<std::string_view> traffic_view::serviceNames() const {
  std::set<std::string_view> Names;
  if (Config != nullptr) {
    for (const auto &Service : Config->Services) {
      Names.insert(Service.Name);
    }
  }
  for (const auto &[Name, List] : Instances) {
    Names.insert(Name);
  }
  return {Names.begin(), Names.end()};
}

} // namespace arbutus::store
