#include "store/config_replica.h"

#include <algorithm>
#include <utility>

namespace arbutus::store {

namespace {

/// True if the changes are those of consecutive revisions after the base.
bool isConsistent(const config_update &Update) {
  auto Expected = number(Update.Base);
  return std::all_of(Update.Changes.begin(), Update.Changes.end(),
                     [&Expected](const change &Change) {
                       return number(Change.Revision) == ++Expected &&
                              (!Change.Object ||
                               (Change.Object->key() == Change.Key &&
                                Change.Object->Revision == Change.Revision));
                     }) &&
         Expected == number(Update.Revision);
}

/// True if the objects of a list part are in order and no newer than the list.
bool isConsistentPart(const config_update &Update, const resource_ptr &Last) {
  if (Update.ListOffset > Update.ListSize ||
      Update.Objects.size() > Update.ListSize - Update.ListOffset ||
      (Update.Objects.empty() && Update.ListSize != 0)) {
    return false;
  }
  const auto *Before = Last.get();
  for (const auto &Object : Update.Objects) {
    if (!Object || Object->Revision > Update.Revision ||
        (Before != nullptr && !(Before->key() < Object->key()))) {
      return false;
    }
    Before = Object.get();
  }
  return true;
}

} // namespace

result<bool, replica_error> config_replica::apply(const config_update &Update) {
  return Update.Full ? applyListPart(Update) : applyChanges(Update);
}

resource_ptr config_replica::find(const object_key &Key) const {
  const auto Found = Objects.find(Key);
  return Found == Objects.end() ? nullptr : Found->second;
}

result<bool, replica_error>
config_replica::applyChanges(const config_update &Update) {
  if (!isConsistent(Update)) {
    return error(replica_error_code::Malformed,
                 "changes are not consecutive or do not fit their objects");
  }
  if (Update.Base > Position.Revision) {
    return error(replica_error_code::Gap, "changes continue a later revision");
  }
  if (Update.Revision < Position.Revision ||
      (Update.Revision == Position.Revision && !Update.Changes.empty())) {
    return error(replica_error_code::Stale, "changes are in force already");
  }
  // A repeated update may begin below the revision in force; the part above it
  // continues this replica.
  for (const auto &Change : Update.Changes) {
    if (Change.Revision <= Position.Revision) {
      continue;
    }
    if (Change.Object) {
      Objects.insert_or_assign(Change.Key, Change.Object);
    } else {
      Objects.erase(Change.Key);
    }
  }
  Position.Revision = Update.Revision;
  if (Position.ListRevision <= Position.Revision) {
    dropList();
  }
  return !Update.Changes.empty();
}

result<bool, replica_error>
config_replica::applyListPart(const config_update &Update) {
  if (Update.Revision <= Position.Revision) {
    return error(replica_error_code::Stale,
                 "the full list is not newer than the revision in force");
  }
  const bool Continues = Position.ListRevision == Update.Revision;
  if (Continues ? Update.ListOffset != Position.ListOffset
                : Update.ListOffset != 0) {
    return error(replica_error_code::Gap,
                 "the part does not continue the list that is being received");
  }
  if (!isConsistentPart(Update,
                        Continues && !List.empty() ? List.back() : nullptr)) {
    return error(replica_error_code::Malformed,
                 "the list part contradicts itself");
  }
  if (!Continues) {
    dropList();
    Position.ListRevision = Update.Revision;
  }
  List.insert(List.end(), Update.Objects.begin(), Update.Objects.end());
  Position.ListOffset = List.size();
  if (Position.ListOffset < Update.ListSize) {
    return false;
  }
  Objects.clear();
  for (auto &Object : List) {
    auto Key = Object->key();
    Objects.emplace_hint(Objects.end(), std::move(Key), std::move(Object));
  }
  dropList();
  Position.Revision = Update.Revision;
  return true;
}

replica_error config_replica::error(replica_error_code Code,
                                    std::string Message) const {
  return {Code, Position, std::move(Message)};
}

void config_replica::dropList() noexcept {
  List.clear();
  Position.ListRevision = {};
  Position.ListOffset = 0;
}

} // namespace arbutus::store
