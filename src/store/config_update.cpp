#include "store/config_update.h"

namespace arbutus::store {

config_position positionAfter(const config_position &From,
                              const config_update &Update) noexcept {
  if (!Update.Full) {
    config_position Next = From;
    Next.Revision = Update.Revision;
    if (Next.ListRevision <= Next.Revision) {
      Next.ListRevision = {};
      Next.ListOffset = 0;
    }
    return Next;
  }
  const auto Received = Update.ListOffset + Update.Objects.size();
  if (Received >= Update.ListSize) {
    return {Update.Revision, {}, 0};
  }
  return {From.Revision, Update.Revision, Received};
}

} // namespace arbutus::store
