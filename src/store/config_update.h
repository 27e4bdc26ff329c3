#ifndef ARBUTUS_STORE_CONFIG_UPDATE_H
#define ARBUTUS_STORE_CONFIG_UPDATE_H

#include "store/change.h"
#include "store/msgpack_ids.h"
#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace arbutus::store {

/// How far a replica has come. A node sends it to ask for the next update.
struct config_position {
  /// Revision in force.
  revision Revision{};
  /// Revision of the full list that is being received, 0 if none.
  revision ListRevision{};
  /// Objects of that list that were received.
  std::uint64_t ListOffset = 0;

  bool operator==(const config_position &) const = default;
  MSGPACK_DEFINE(Revision, ListRevision, ListOffset)
};

/// Changes that continue `Base`, or one part of the full list of objects.
struct config_update {
  /// Revision that the changes continue; not used for a full list.
  revision Base{};
  /// Revision after the changes, or that of the full list.
  revision Revision{};
  /// True for a part of a full list: `Objects` are set in place of `Changes`.
  bool Full = false;
  /// Number of the list's objects in earlier parts, and in all parts.
  std::uint64_t ListOffset = 0;
  std::uint64_t ListSize = 0;
  std::vector<change> Changes;
  std::vector<resource_ptr> Objects;

  /// True if there is nothing to send.
  [[nodiscard]] bool empty() const noexcept { return !Full && Changes.empty(); }
  MSGPACK_DEFINE(Base, Revision, Full, ListOffset, ListSize, Changes, Objects)
};

/// Position of a replica that was at `From` and has applied `Update`. Lets a
/// leader send several updates without waiting for answers.
[[nodiscard]] config_position
positionAfter(const config_position &From,
              const config_update &Update) noexcept;

} // namespace arbutus::store

#endif
