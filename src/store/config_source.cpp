#include "store/config_source.h"

#include "base/codec.h"

#include <algorithm>
#include <utility>

namespace arbutus::store {

namespace {

/// Room for the fields of an update beside its changes and objects.
constexpr std::size_t HeaderBytes = 64;

/// Serialized size below which no change can be; bounds the changes that are
/// looked at for one update.
constexpr std::size_t LeastChangeBytes = 6;

/// Changes after which a new receiver gets a new list. A receiver of the list
/// has to catch up from it, and the history must still reach back to it then.
constexpr std::uint64_t MaxListAge = 1'000;

config_update changesUpdate(std::vector<change> Changes, revision Since,
                            std::size_t MaxBytes) {
  config_update Update;
  Update.Base = Since;
  std::size_t Bytes = HeaderBytes;
  for (auto &Change : Changes) {
    Bytes += encode(Change).size();
    if (Bytes > MaxBytes && !Update.Changes.empty()) {
      break;
    }
    Update.Changes.push_back(std::move(Change));
  }
  Update.Revision =
      Update.Changes.empty() ? Since : Update.Changes.back().Revision;
  return Update;
}

} // namespace

config_update config_source::makeUpdate(const state_machine &Store,
                                        const config_position &Since,
                                        std::size_t MaxBytes) {
  if (Since.Revision >= Store.currentRevision()) {
    return {Since.Revision, Since.Revision, false, 0, 0, {}, {}};
  }
  auto Changes =
      Store.changesSince(Since.Revision, {},
                         std::max<std::size_t>(1, MaxBytes / LeastChangeBytes));
  if (Changes) {
    return changesUpdate(std::move(Changes).value(), Since.Revision, MaxBytes);
  }
  const bool Continues =
      Since.ListRevision != revision{} && Since.ListRevision == ListRevision &&
      Since.ListOffset < List.size() && ListRevision >= Changes.error().Oldest;
  if (Continues) {
    return listPart(Since.ListOffset, MaxBytes);
  }
  if (ListRevision <= Since.Revision || !listIsRecent(Store)) {
    makeList(Store);
  }
  return listPart(0, MaxBytes);
}

config_update config_source::listPart(std::size_t Offset,
                                      std::size_t MaxBytes) const {
  config_update Update;
  Update.Full = true;
  Update.Revision = ListRevision;
  Update.ListOffset = Offset;
  Update.ListSize = List.size();
  std::size_t Bytes = HeaderBytes;
  for (auto I = Offset; I < List.size(); ++I) {
    Bytes += Sizes[I];
    if (Bytes > MaxBytes && I > Offset) {
      break;
    }
    Update.Objects.push_back(List[I]);
  }
  return Update;
}

bool config_source::listIsRecent(const state_machine &Store) const {
  const auto Current = number(Store.currentRevision());
  return ListRevision != revision{} && number(ListRevision) <= Current &&
         Current - number(ListRevision) <= MaxListAge;
}

void config_source::makeList(const state_machine &Store) {
  List = Store.listAll();
  ListRevision = Store.currentRevision();
  Sizes.clear();
  for (const auto &Object : List) {
    Sizes.push_back(encode(*Object).size());
  }
}

} // namespace arbutus::store
