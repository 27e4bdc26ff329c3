#ifndef ARBUTUS_STORE_RESOURCE_TABLE_H
#define ARBUTUS_STORE_RESOURCE_TABLE_H

#include "store/change.h"
#include "store/field_error.h"
#include "store/resource.h"
#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutus::store {

/// Changes that are kept for watches and replicas.
inline constexpr std::size_t MaxHistory = 10'000;
/// Changes of the fleet configuration among them. Each holds a whole document,
/// so more of them would take too much memory on a small VM.
inline constexpr std::size_t MaxConfigHistory = 8;

/// All objects with their history. Writes are not checked here: callers check
/// them first.
class resource_table {
public:
  /// Creates or replaces an object, with a new version and revision. A new
  /// service also gets its pool.
  resource_ptr put(const std::string &Name, const resource_spec &Spec);
  /// Deletes an object that exists; a service with its pool. Returns the
  /// object as it was.
  resource_ptr erase(const object_key &Key);

  /// The object, or null.
  [[nodiscard]] resource_ptr find(resource_kind Kind,
                                  std::string_view Name) const;
  [[nodiscard]] const std::map<std::string, resource_ptr, std::less<>> &
  objects(resource_kind Kind) const noexcept {
    return Objects[static_cast<std::size_t>(Kind)];
  }
  [[nodiscard]] resource_ptr findPool(pool_id Id) const;
  [[nodiscard]] bool hasTeam(team_id Id) const;

  /// Faults of a spec that depend on other objects: references to objects that
  /// do not exist, and values that must be unique.
  [[nodiscard]] std::vector<field_error>
  checkReferences(std::string_view Name, const resource_spec &Spec) const;
  /// Objects that name this one.
  [[nodiscard]] std::vector<object_key> referrers(const object_key &Key) const;

  [[nodiscard]] revision currentRevision() const noexcept { return Revision; }
  /// The oldest revision from which the kept history continues.
  [[nodiscard]] revision oldestRevision() const noexcept;
  [[nodiscard]] const std::deque<change> &history() const noexcept {
    return History;
  }

  /// Builds the indexes after unpacking. Returns false if the objects
  /// contradict each other.
  [[nodiscard]] bool rebuild();

  template <class Packer> void msgpack_pack(Packer &Out) const { // NOLINT
    Out.pack_array(5);
    Out.pack(Revision);
    Out.pack(NextNumber);
    Out.pack(DeletedVersion);
    Out.pack(Objects);
    Out.pack_array(static_cast<std::uint32_t>(History.size()));
    for (const auto &Change : History) {
      // An object that is still current is in `Objects` already.
      const bool Current = Change.Object && isCurrent(Change);
      Out.pack_array(4);
      Out.pack(Change.Revision);
      Out.pack(Change.Key);
      Out.pack(Current);
      Out.pack(Current ? resource_ptr() : Change.Object);
    }
  }
  void msgpack_unpack(const msgpack::object &In); // NOLINT

private:
  using name_index = std::unordered_map<std::string, std::string>;
  using number_index = std::unordered_map<std::uint32_t, std::string>;

  resource_ptr store(const std::string &Name, std::uint32_t Number,
                     const resource_spec &Spec);
  resource_ptr remove(const object_key &Key);
  void record(const object_key &Key, const resource_ptr &Object);
  void countConfigChange(const object_key &Key, int Difference);
  bool addToIndexes(const resource &Object);
  void removeFromIndexes(const resource &Object);
  [[nodiscard]] bool isCurrent(const change &Change) const;
  std::uint32_t takeNumber(resource_kind Kind);

  std::array<std::map<std::string, resource_ptr, std::less<>>, ResourceKinds>
      Objects;
  std::deque<change> History;
  std::size_t ConfigChanges = 0;
  revision Revision{};
  /// Next `team_id`, `upstream_id` and `pool_id`, by kind.
  std::array<std::uint32_t, ResourceKinds> NextNumber = {1, 1, 1, 1, 1,
                                                         1, 1, 1, 1, 1};
  /// Largest version of a deleted object, by kind. A new object starts above
  /// it, so that a write that was meant for a deleted object of the same name
  /// cannot meet an equal version.
  std::array<std::uint64_t, ResourceKinds> DeletedVersion{};
  name_index TeamOfKeyHash;
  name_index UpstreamOfAddress;
  name_index ServiceOfModel;
  number_index TeamOfNumber;
  number_index UpstreamOfNumber;
  number_index ServiceOfNumber;
};

} // namespace arbutus::store

#endif
