#ifndef ARBUTUS_CONTROL_VOTER_QUEUE_H
#define ARBUTUS_CONTROL_VOTER_QUEUE_H

#include "base/ids.h"
#include "store/commands.h"

#include <cstdint>
#include <vector>

namespace arbutus::control {

/// Node that gets the outcome of a proposed command. `None` is for commands of
/// the leader itself.
struct command_requester {
  enum class kind { None, Router, Operator };
  kind Kind = kind::None;
  node_id Node{};
  std::uint64_t Number = 0;
};

/// A command that the next log entry will hold.
struct queued_command {
  store::command Command;
  command_requester Requester;
};

/// Requesters of the commands in a log entry that is not committed yet.
struct proposed_entry {
  std::uint64_t Term = 0;
  std::vector<command_requester> Requesters;
};

} // namespace arbutus::control

#endif
