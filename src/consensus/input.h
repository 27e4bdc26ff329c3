#ifndef ARBUTUS_CONSENSUS_INPUT_H
#define ARBUTUS_CONSENSUS_INPUT_H

#include "base/name_table.h"
#include "consensus/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::consensus {

/// Checks timeouts. Must be passed to the node at least every 50 ms.
struct tick {};

/// A message received from `Message.From`.
struct peer_message {
  message Message;
};

/// Payloads to append together, in this order.
struct proposal_batch {
  std::vector<std::string> Payloads;
};

/// Kind of a membership change.
enum class membership_change_kind : std::uint8_t {
  AddLearner, ///< also replaces a member that lost its data directory
  Promote,    ///< learner to voter, once it has caught up
  Remove,
};

/// Asks the leader to change one member. Only `AddLearner` uses `DirectoryId`,
/// which the new member reports.
struct membership_change {
  membership_change_kind Kind = membership_change_kind::AddLearner;
  node_id Node{};
  data_directory_id DirectoryId = BootstrapDirectoryId;
};

/// The caller has saved and synced a snapshot of its state machine at `Index`,
/// with the metadata from `raft_node::snapshotMeta`.
struct snapshot_saved {
  std::uint64_t Index = 0;
  std::shared_ptr<const std::string> Data;
};

/// All writes up to and including `disk_writes::Sequence` are synced.
struct writes_synced {
  std::uint64_t Sequence = 0;
};

/// A write or sync failed. The node stops voting, acknowledging and leading. To
/// continue, the process must create a new `raft_node` from the data directory.
struct storage_failed {};

using input =
    std::variant<tick, peer_message, proposal_batch, membership_change,
                 snapshot_saved, writes_synced, storage_failed>;

} // namespace arbutus::consensus

template <>
struct arbutus::name_table<arbutus::consensus::membership_change_kind> {
  using kind = arbutus::consensus::membership_change_kind;
  static constexpr name_row<kind> Rows[] = {
      {kind::AddLearner, "add_learner"},
      {kind::Promote, "promote"},
      {kind::Remove, "remove"},
  };
};

#endif
