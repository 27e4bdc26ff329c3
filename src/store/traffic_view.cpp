#include "store/traffic_view.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace arbutus::store {

namespace {

/// Between the name of a service and the version of its instances in the name
/// of a pool.
constexpr char PoolSeparator = '@';

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
  addRollouts(Replica);
  addInstances(Replica);
  limitCanaries();
  addQuarantines(Replica);
}

void traffic_view::addRollouts(const config_replica &Replica) {
  const auto &Known = Replica.objects();
  for (auto I = Known.lower_bound({resource_kind::Rollout, {}});
       I != Known.end() && I->first.Kind == resource_kind::Rollout; ++I) {
    const auto &Object = I->second;
    const auto *Spec = Object->as<rollout>();
    Rollouts[Object->Name] = Spec;
    TargetPools[Object->Name] = Object->Name + PoolSeparator + Spec->Target;
    Objects.push_back(Object);
  }
}

void traffic_view::addInstances(const config_replica &Replica) {
  const auto &Known = Replica.objects();
  for (auto I = Known.lower_bound({resource_kind::Instance, {}});
       I != Known.end() && I->first.Kind == resource_kind::Instance; ++I) {
    const auto &Object = I->second;
    const auto *Spec = Object->as<instance>();
    const auto *Rollout = rolloutOf(Spec->Service);
    const bool Usable =
        Spec->State == upstream_state::In &&
        isDomainIn(Replica, Spec->FailureDomain) &&
        (Rollout == nullptr || !Rollout->isBarred(Spec->Version));
    std::string_view Pool = Spec->Service;
    // Also a version that came after the rollout, for example by a release.
    const bool InTargetPool =
        Rollout != nullptr &&
        (Spec->Version == Rollout->Target ||
         (Rollout->Phase == rollout_phase::Succeeded && Usable));
    if (InTargetPool) {
      Pool = TargetPools.at(Spec->Service);
    }
    Instances[Pool].push_back(
        {upstream_id{Object->Number}, Object->Name, Spec, Usable});
    Objects.push_back(Object);
  }
}

void traffic_view::limitCanaries() {
  for (const auto &[Service, Rollout] : Rollouts) {
    const auto Found = Instances.find(TargetPools.at(Service));
    if (Rollout->Phase != rollout_phase::Canary || Found == Instances.end()) {
      continue;
    }
    std::vector<instance_entry *> Usable;
    for (auto &Entry : Found->second) {
      if (Entry.Usable) {
        Usable.push_back(&Entry);
      }
    }
    // All routers select the same ones, and keep them while others come and go.
    std::sort(Usable.begin(), Usable.end(), [](const auto *L, const auto *R) {
      return hash64(L->Name) < hash64(R->Name);
    });
    const auto Share = static_cast<std::size_t>(
        std::ceil(Rollout->CanaryShare * static_cast<double>(Usable.size())));
    for (std::size_t I = std::max(MinCanaryUpstreams, Share); I < Usable.size();
         ++I) {
      Usable[I]->Usable = false;
    }
  }
}

void traffic_view::addQuarantines(const config_replica &Replica) {
  const auto &Known = Replica.objects();
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
  const auto Pool =
      std::find_if(TargetPools.begin(), TargetPools.end(),
                   [&](const auto &Known) { return Known.second == Name; });
  const auto Service = Pool == TargetPools.end() ? Name : Pool->first;
  const auto Found =
      std::find_if(Config->Services.begin(), Config->Services.end(),
                   [&](const auto &Known) { return Known.Name == Service; });
  return Found == Config->Services.end() ? nullptr : &*Found;
}

const std::vector<instance_entry> &
traffic_view::instances(std::string_view Pool) const noexcept {
  static const std::vector<instance_entry> None;
  const auto Found = Instances.find(Pool);
  return Found == Instances.end() ? None : Found->second;
}

service_pools traffic_view::pools(std::string_view Service) const noexcept {
  const auto *Rollout = rolloutOf(Service);
  if (Rollout == nullptr) {
    return {Service, {}};
  }
  const std::string_view Target = TargetPools.find(Service)->second;
  switch (Rollout->Phase) {
  case rollout_phase::Canary:
  case rollout_phase::Expanding:
    return {Service, Target};
  case rollout_phase::Shifting:
  case rollout_phase::Succeeded:
    return {Target, {}};
  case rollout_phase::RolledBack:
    return {Service, {}};
  }
  return {Service, {}};
}

const rollout *
traffic_view::rolloutOf(std::string_view Service) const noexcept {
  const auto Found = Rollouts.find(Service);
  return Found == Rollouts.end() ? nullptr : Found->second;
}

std::vector<std::string_view> traffic_view::poolNames() const {
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
