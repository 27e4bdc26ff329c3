#ifndef ARBUTUS_CONTROL_VOTER_QUEUE_H
#define ARBUTUS_CONTROL_VOTER_QUEUE_H

#include "base/clock.h"
#include "base/ids.h"
#include "store/commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::control {

/// Who is told of a command's outcome. `None` is for commands of the leader
/// itself; `Discovery` for those that store a list of instances.
struct command_requester {
  enum class kind { None, Router, Operator, Discovery };
  kind Kind = kind::None;
  node_id Node{};
  std::uint64_t Number = 0;
  /// Only for `Discovery`: when the read of the list began.
  instant ReadAt;
  /// Only for an order without a version: what it is on, and the number that
  /// `order_filter` gave it.
  std::string OrderSubject;
  std::uint64_t OrderNumber = 0;
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
