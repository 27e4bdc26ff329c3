#include "store/resource_table.h"

#include "store/nearest_name.h"
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace arbutus::store {

namespace {

constexpr std::size_t slot(resource_kind Kind) noexcept {
  return static_cast<std::size_t>(Kind);
}

bool containsName(const std::vector<std::string> &Names,
                  std::string_view Name) noexcept {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Collects the faults of one spec that depend on other objects.
struct reference_checker {
  const resource_table &Table;
  std::vector<field_error> Errors;

  void exists(std::string Path, resource_kind Kind, std::string_view Name) {
    const auto &Known = Table.objects(Kind);
    if (Known.find(Name) != Known.end()) {
      return;
    }
    if (Errors.size() == MaxFieldErrors) {
      return;
    }
    std::vector<std::string_view> Names;
    // Suggestions come from small tables only; their cost is linear.
    if (Known.size() <= 100) {
      for (const auto &[KnownName, Object] : Known) {
        Names.push_back(KnownName);
      }
    }
    addFault(Errors, {std::move(Path), field_code::NoSuchObject,
                      fmt::format("there is no {} \"{}\"{}", nameOf(Kind), Name,
                                  suggestion(Name, Names))});
  }

  void services(const std::vector<std::string> &Names) {
    for (std::size_t I = 0; I < Names.size(); ++I) {
      exists(fmt::format("spec.services[{}]", I), resource_kind::Service,
             Names[I]);
    }
  }

  void unique(std::string Path, std::string_view Self,
              const std::unordered_map<std::string, std::string> &Owners,
              const std::string &Value, resource_kind Kind) {
    const auto Owner = Owners.find(Value);
    if (Owner != Owners.end() && Owner->second != Self) {
      addFault(Errors, {std::move(Path), field_code::Duplicate,
                        fmt::format("{} \"{}\" has the same value",
                                    nameOf(Kind), Owner->second)});
    }
  }
};

} // namespace

resource_ptr resource_table::put(const std::string &Name,
                                 const resource_spec &Spec) {
  const auto Kind = kindOf(Spec);
  const auto Old = find(Kind, Name);
  if (Old) {
    return store(Name, Old->Number, Spec);
  }
  const auto Number = takeNumber(Kind);
  auto Object = store(Name, Number, Spec);
  if (Kind == resource_kind::Service) {
    store(Name, Number, {pool{}});
  }
  return Object;
}

resource_ptr resource_table::erase(const object_key &Key) {
  if (Key.Kind == resource_kind::Service) {
    remove({resource_kind::Pool, Key.Name});
  }
  return remove(Key);
}

resource_ptr resource_table::find(resource_kind Kind,
                                  std::string_view Name) const {
  const auto &Known = Objects[slot(Kind)];
  const auto Found = Known.find(Name);
  return Found == Known.end() ? nullptr : Found->second;
}

resource_ptr resource_table::findPool(pool_id Id) const {
  const auto Found = ServiceOfNumber.find(number(Id));
  return Found == ServiceOfNumber.end()
             ? nullptr
             : find(resource_kind::Pool, Found->second);
}

bool resource_table::hasTeam(team_id Id) const {
  return TeamOfNumber.find(number(Id)) != TeamOfNumber.end();
}

std::vector<field_error>
resource_table::checkReferences(std::string_view Name,
                                const resource_spec &Spec) const {
  reference_checker Checker{*this, {}};
  if (const auto *Team = std::get_if<team>(&Spec.Value)) {
    for (std::size_t I = 0; I < Team->ApiKeyHashes.size(); ++I) {
      Checker.unique(fmt::format("spec.api_key_hashes[{}]", I), Name,
                     TeamOfKeyHash, Team->ApiKeyHashes[I], resource_kind::Team);
    }
    Checker.services(Team->Services);
  } else if (const auto *Upstream = std::get_if<upstream>(&Spec.Value)) {
    Checker.unique("spec.address", Name, UpstreamOfAddress, Upstream->Address,
                   resource_kind::Upstream);
    Checker.exists("spec.failure_domain", resource_kind::FailureDomain,
                   Upstream->FailureDomain);
    Checker.services(Upstream->Services);
  } else if (const auto *Service = std::get_if<service>(&Spec.Value)) {
    if (!Service->Model.empty()) {
      Checker.unique("spec.model", Name, ServiceOfModel, Service->Model,
                     resource_kind::Service);
    }
  }
  return std::move(Checker.Errors);
}

std::vector<object_key> resource_table::referrers(const object_key &Key) const {
  std::vector<object_key> Found;
  if (Key.Kind == resource_kind::Service) {
    for (const auto &[Name, Object] : objects(resource_kind::Team)) {
      if (containsName(Object->as<team>()->Services, Key.Name)) {
        Found.push_back({resource_kind::Team, Name});
      }
    }
  }
  if (Key.Kind == resource_kind::Service ||
      Key.Kind == resource_kind::FailureDomain) {
    for (const auto &[Name, Object] : objects(resource_kind::Upstream)) {
      const auto &Spec = *Object->as<upstream>();
      if (Key.Kind == resource_kind::Service
              ? containsName(Spec.Services, Key.Name)
              : Spec.FailureDomain == Key.Name) {
        Found.push_back({resource_kind::Upstream, Name});
      }
    }
  }
  return Found;
}

revision resource_table::oldestRevision() const noexcept {
  return History.empty() ? Revision
                         : revision{number(History.front().Revision) - 1};
}

bool resource_table::rebuild() {
  for (std::size_t Kind = 0; Kind < Objects.size(); ++Kind) {
    for (const auto &[Name, Object] : Objects[Kind]) {
      if (!Object || slot(Object->kind()) != Kind || Object->Name != Name ||
          Object->Revision > Revision || !addToIndexes(*Object)) {
        return false;
      }
      const auto Counted = Kind == slot(resource_kind::Pool)
                               ? slot(resource_kind::Service)
                               : Kind;
      if (Object->Number >= NextNumber[Counted]) {
        return false;
      }
    }
  }
  const auto &Services = objects(resource_kind::Service);
  const auto &Pools = objects(resource_kind::Pool);
  if (!std::equal(Services.begin(), Services.end(), Pools.begin(), Pools.end(),
                  [](const auto &Service, const auto &Pool) {
                    return Service.first == Pool.first &&
                           Service.second->Number == Pool.second->Number;
                  })) {
    return false;
  }
  for (const auto &Known : Objects) {
    for (const auto &[Name, Object] : Known) {
      if (!checkReferences(Name, Object->Spec).empty()) {
        return false;
      }
    }
  }
  auto Expected = number(Revision) - History.size();
  return History.size() <= MaxHistory &&
         std::all_of(History.begin(), History.end(), [&](const change &Change) {
           return number(Change.Revision) == ++Expected &&
                  (!Change.Object || Change.Object->key() == Change.Key);
         });
}

void resource_table::msgpack_unpack(const msgpack::object &In) {
  if (In.type != msgpack::type::ARRAY || In.via.array.size != 5) {
    throw msgpack::type_error();
  }
  const auto *Parts = In.via.array.ptr;
  Parts[0].convert(Revision);
  Parts[1].convert(NextNumber);
  Parts[2].convert(DeletedVersion);
  Parts[3].convert(Objects);
  if (Parts[4].type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  const auto &Rows = Parts[4].via.array;
  for (std::uint32_t I = 0; I < Rows.size; ++I) {
    const auto &Row = Rows.ptr[I];
    if (Row.type != msgpack::type::ARRAY || Row.via.array.size != 4) {
      throw msgpack::type_error();
    }
    const auto *Fields = Row.via.array.ptr;
    change Change{Fields[0].as<revision>(), Fields[1].as<object_key>(),
                  Fields[3].as<resource_ptr>()};
    if (Fields[2].as<bool>()) {
      if (slot(Change.Key.Kind) >= Objects.size()) {
        throw msgpack::type_error();
      }
      Change.Object = find(Change.Key.Kind, Change.Key.Name);
      if (!Change.Object || !isCurrent(Change)) {
        throw msgpack::type_error();
      }
    }
    countConfigChange(Change.Key, 1);
    History.push_back(std::move(Change));
  }
}

resource_ptr resource_table::store(const std::string &Name,
                                   std::uint32_t Number,
                                   const resource_spec &Spec) {
  const auto Kind = kindOf(Spec);
  auto &Place = Objects[slot(Kind)][Name];
  const auto Version =
      Place ? Place->Version + 1 : DeletedVersion[slot(Kind)] + 1;
  if (Place) {
    removeFromIndexes(*Place);
  }
  Place = std::make_shared<const resource>(
      resource{Name, Number, Version, revision{number(Revision) + 1}, Spec});
  addToIndexes(*Place);
  record({Kind, Name}, Place);
  return Place;
}

resource_ptr resource_table::remove(const object_key &Key) {
  auto &Known = Objects[slot(Key.Kind)];
  const auto Found = Known.find(Key.Name);
  if (Found == Known.end()) {
    return nullptr;
  }
  auto Object = Found->second;
  auto &Deleted = DeletedVersion[slot(Key.Kind)];
  Deleted = std::max(Deleted, Object->Version);
  removeFromIndexes(*Object);
  Known.erase(Found);
  record(Key, nullptr);
  return Object;
}

void resource_table::record(const object_key &Key, const resource_ptr &Object) {
  Revision = revision{number(Revision) + 1};
  History.push_back({Revision, Key, Object});
  countConfigChange(Key, 1);
  while (History.size() > MaxHistory || ConfigChanges > MaxConfigHistory) {
    countConfigChange(History.front().Key, -1);
    History.pop_front();
  }
}

void resource_table::countConfigChange(const object_key &Key, int Difference) {
  if (Key.Kind == resource_kind::Configuration) {
    ConfigChanges += static_cast<std::size_t>(Difference);
  }
}

bool resource_table::addToIndexes(const resource &Object) {
  if (const auto *Team = Object.as<team>()) {
    bool Added = TeamOfNumber.emplace(Object.Number, Object.Name).second;
    for (const auto &Hash : Team->ApiKeyHashes) {
      Added = TeamOfKeyHash.emplace(Hash, Object.Name).second && Added;
    }
    return Added;
  }
  if (const auto *Upstream = Object.as<upstream>()) {
    return UpstreamOfNumber.emplace(Object.Number, Object.Name).second &&
           UpstreamOfAddress.emplace(Upstream->Address, Object.Name).second;
  }
  if (const auto *Service = Object.as<service>()) {
    return ServiceOfNumber.emplace(Object.Number, Object.Name).second &&
           (Service->Model.empty() ||
            ServiceOfModel.emplace(Service->Model, Object.Name).second);
  }
  return true;
}

void resource_table::removeFromIndexes(const resource &Object) {
  if (const auto *Team = Object.as<team>()) {
    TeamOfNumber.erase(Object.Number);
    for (const auto &Hash : Team->ApiKeyHashes) {
      TeamOfKeyHash.erase(Hash);
    }
  } else if (const auto *Upstream = Object.as<upstream>()) {
    UpstreamOfNumber.erase(Object.Number);
    UpstreamOfAddress.erase(Upstream->Address);
  } else if (const auto *Service = Object.as<service>()) {
    ServiceOfNumber.erase(Object.Number);
    if (!Service->Model.empty()) {
      ServiceOfModel.erase(Service->Model);
    }
  }
}

bool resource_table::isCurrent(const change &Change) const {
  const auto Object = find(Change.Key.Kind, Change.Key.Name);
  return Object && Object->Revision == Change.Revision;
}

std::uint32_t resource_table::takeNumber(resource_kind Kind) {
  switch (Kind) {
  case resource_kind::Team:
  case resource_kind::Upstream:
  case resource_kind::Service:
  case resource_kind::Instance:
    return NextNumber[slot(Kind)]++;
  default:
    return 0;
  }
}

} // namespace arbutus::store
