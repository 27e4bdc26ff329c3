#ifndef ARBUTUS_CONTROL_VOTER_QUEUE_H
#define ARBUTUS_CONTROL_VOTER_QUEUE_H

#include "base/ids.h"
#include "store/commands.h"

#include <cstdint>
#include <vector>

namespace arbutus::control {

/// Who waits for the outcome of a proposed command.
struct command_source {
  enum class kind { None, Command, Api };
  kind Kind = kind::None;
  node_id Node{};
  std::uint64_t Number = 0;
};

/// A command that goes into the next log entry.
struct queued_command {
  store::command Command;
  command_source Source;
};

/// Who waits for the commands of a log entry that is not committed yet.
struct proposed_entry {
  std::uint64_t Term = 0;
  std::vector<command_source> Sources;
};

} // namespace arbutus::control

#endif
