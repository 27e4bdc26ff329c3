#include "store/config_view.h"

#include <algorithm>

namespace arbutus::store {

namespace {

template <class Key, class Entries>
const typename Entries::value_type *
findEntry(const std::unordered_map<Key, std::uint32_t> &Index,
          const Entries &Known, const Key &Wanted) noexcept {
  const auto Found = Index.find(Wanted);
  return Found == Index.end() ? nullptr : &Known[Found->second];
}

bool startsWithSegments(std::string_view Path,
                        std::string_view Prefix) noexcept {
  return Path.substr(0, Prefix.size()) == Prefix &&
         (Path.size() == Prefix.size() || Prefix.back() == '/' ||
          Path[Prefix.size()] == '/');
}

bool isAmbiguous(std::string_view Path) noexcept {
  constexpr auto None = std::string_view::npos;
  return Path.find_first_of("%\\;") != None || Path.find("//") != None ||
         Path.find("/./") != None || Path.find("/../") != None ||
         Path.ends_with("/.") || Path.ends_with("/..");
}

/// Calls `Use` for every object of one kind in the replica, ordered by name.
template <class Function>
void forEach(const config_replica &Replica, resource_kind Kind, Function Use) {
  const auto &Known = Replica.objects();
  for (auto I = Known.lower_bound({Kind, {}});
       I != Known.end() && I->first.Kind == Kind; ++I) {
    Use(I->second);
  }
}

} // namespace

std::optional<route_match>
service_entry::match(std::string_view Method,
                     std::string_view Path) const noexcept {
  Path = Path.substr(0, Path.find_first_of("?#"));
  const route *Best = nullptr;
  for (const auto &Route : Spec->Routes) {
    if (Route.Method == Method && startsWithSegments(Path, Route.PathPrefix) &&
        (Best == nullptr ||
         Route.PathPrefix.size() > Best->PathPrefix.size())) {
      Best = &Route;
    }
  }
  if (Best == nullptr) {
    return std::nullopt;
  }
  return route_match{Best->Idempotent && !isAmbiguous(Path), Spec->DeadlineMs};
}

bool team_entry::mayUse(std::string_view Service) const noexcept {
  return std::find(Spec->Services.begin(), Spec->Services.end(), Service) !=
         Spec->Services.end();
}

config_view::config_view(const config_replica &Replica)
    : Traffic(Replica), Revision(Replica.currentRevision()) {
  addTeams(Replica);
  addServices(Replica);
  addMembers(Replica);
  if (const auto Object =
          Replica.find({resource_kind::Policy, std::string(PolicyName)})) {
    Policy = *Object->as<policy>();
  }
}

const team_entry *
config_view::teamByKeyHash(std::string_view KeyHash) const noexcept {
  return findEntry(TeamOfKey, Teams, KeyHash);
}

const team_entry *config_view::teamById(team_id Id) const noexcept {
  return findEntry(TeamOfId, Teams, number(Id));
}

const service_entry *
config_view::serviceByName(std::string_view Name) const noexcept {
  return findEntry(ServiceOfName, Services, Name);
}

const service_entry *
config_view::serviceByModel(std::string_view Model) const noexcept {
  return findEntry(ServiceOfModel, Services, Model);
}

const service_entry *config_view::serviceByPool(pool_id Id) const noexcept {
  return findEntry(ServiceOfPool, Services, number(Id));
}

void config_view::addTeams(const config_replica &Replica) {
  forEach(Replica, resource_kind::Team, [this](const resource_ptr &Object) {
    const auto *Spec = Object->as<team>();
    const auto Slot = static_cast<std::uint32_t>(Teams.size());
    Teams.push_back({team_id{Object->Number}, Object->Name, Spec});
    TeamOfId.emplace(Object->Number, Slot);
    for (const auto &Hash : Spec->ApiKeyHashes) {
      TeamOfKey.emplace(Hash, Slot);
    }
    Objects.push_back(Object);
  });
}

void config_view::addServices(const config_replica &Replica) {
  forEach(Replica, resource_kind::Service, [&](const resource_ptr &Object) {
    const auto Slot = static_cast<std::uint32_t>(Services.size());
    auto &Entry = Services.emplace_back();
    Entry.Pool = pool_id{Object->Number};
    Entry.Name = Object->Name;
    Entry.Spec = Object->as<service>();
    // The pool may be absent or that of an earlier service of this name while
    // the replica is between two updates.
    const auto Pool = Replica.find({resource_kind::Pool, Object->Name});
    if (Pool && Pool->Number == Object->Number) {
      Entry.Grantor = Pool->as<pool>()->Grantor;
      Entry.GrantorIncarnation = Pool->as<pool>()->Incarnation;
      Entry.Epoch = Pool->as<pool>()->Epoch;
    }
    ServiceOfName.emplace(Entry.Name, Slot);
    ServiceOfPool.emplace(Object->Number, Slot);
    if (!Entry.Spec->Model.empty()) {
      ServiceOfModel.emplace(Entry.Spec->Model, Slot);
    }
    Objects.push_back(Object);
  });
}

void config_view::addMembers(const config_replica &Replica) {
  std::unordered_map<std::string_view, bool> DomainIn;
  forEach(Replica, resource_kind::FailureDomain,
          [&DomainIn](const resource_ptr &Object) {
            DomainIn.emplace(Object->Name,
                             Object->as<failure_domain>()->State ==
                                 domain_state::In);
          });
  forEach(Replica, resource_kind::Upstream, [&](const resource_ptr &Object) {
    const auto &Spec = *Object->as<upstream>();
    const auto Domain = DomainIn.find(Spec.FailureDomain);
    pool_member Member;
    Member.Id = upstream_id{Object->Number};
    Member.Name = Object->Name;
    Member.Address = Spec.Address;
    Member.FailureDomain = Spec.FailureDomain;
    Member.MaxLimit = Spec.MaxConcurrent;
    Member.Usable = Spec.State == upstream_state::In &&
                    Domain != DomainIn.end() && Domain->second;
    for (const auto &Name : Spec.Services) {
      const auto Slot = ServiceOfName.find(Name);
      if (Slot == ServiceOfName.end()) {
        continue;
      }
      auto &Entry = Services[Slot->second];
      Member.FirstLimit = std::min(Entry.Spec->FirstLimit, Spec.MaxConcurrent);
      Member.Growth = Entry.Spec->Growth;
      Member.WarmRequests = Entry.Spec->WarmRequests;
      Entry.Members.push_back(Member);
    }
    Objects.push_back(Object);
  });
  for (auto &Entry : Services) {
    std::sort(
        Entry.Members.begin(), Entry.Members.end(),
        [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  }
}

} // namespace arbutus::store
