#ifndef ARBUTUS_STORE_STATE_MACHINE_H
#define ARBUTUS_STORE_STATE_MACHINE_H

#include "base/result.h"
#include "store/applied.h"
#include "store/change.h"
#include "store/commands.h"
#include "store/field_error.h"
#include "store/resource.h"
#include "store/snapshot_error.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::store {

/// Why a watch cannot continue: the changes after its revision are no longer
/// kept, so that it starts again from a full list.
struct compacted {
  /// The oldest revision from which a watch can continue.
  revision Oldest{};
};

/// The replicated state: resources, request ids and claims. The same entries
/// in the same order give the same state and the same outcomes on every voter.
/// It has one owner thread and reads no clock.
class state_machine {
public:
  state_machine();
  state_machine(state_machine &&) noexcept;
  state_machine &operator=(state_machine &&) noexcept;
  ~state_machine();

  /// Applies the log entry at `Index`, made by `encodeBatch`. Indexes grow;
  /// gaps are allowed, because not every entry of the log is for the store.
  applied apply(std::uint64_t Index, std::string_view Bytes);

  /// Index of the last applied entry, 0 before the first.
  [[nodiscard]] std::uint64_t appliedIndex() const noexcept;
  /// Revision of the last accepted change, 0 before the first.
  [[nodiscard]] revision currentRevision() const noexcept;
  /// Largest leader time seen, in milliseconds.
  [[nodiscard]] std::int64_t logTimeMs() const noexcept;

  /// The object of this kind and name, or null.
  [[nodiscard]] resource_ptr find(resource_kind Kind,
                                  std::string_view Name) const;
  /// All objects of a kind, ordered by name.
  [[nodiscard]] std::vector<resource_ptr> list(resource_kind Kind) const;
  /// All objects, ordered by kind and name.
  [[nodiscard]] std::vector<resource_ptr> listAll() const;
  /// Upstreams of the pool of a service, ordered by name.
  [[nodiscard]] std::vector<resource_ptr>
  poolMembers(std::string_view Service) const;

  /// Every fault of values and references that `apply` would find in this
  /// write at the current state.
  [[nodiscard]] std::vector<field_error> check(const put_command &Put) const;

  /// At most `Most` changes with a revision above `Since`, oldest first, of the
  /// given kinds (all kinds if empty).
  [[nodiscard]] result<std::vector<change>, compacted>
  changesSince(revision Since, const std::vector<resource_kind> &Kinds = {},
               std::size_t Most = SIZE_MAX) const;

  /// The whole state, to be read by `restore` on any voter.
  [[nodiscard]] std::string snapshot() const;
  /// Replaces the whole state. After an error the state is unchanged.
  [[nodiscard]] result<void, snapshot_error> restore(std::string_view Bytes);

  /// Number of remembered request ids and of claim records.
  [[nodiscard]] std::size_t requestIds() const noexcept;
  [[nodiscard]] std::size_t claims() const noexcept;
  /// Owners of open claims. An owner without a session has lost its claims.
  [[nodiscard]] std::set<std::pair<node_id, incarnation>> openOwners() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace arbutus::store

#endif
