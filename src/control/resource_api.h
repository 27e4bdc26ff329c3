#ifndef ARBUTUS_CONTROL_RESOURCE_API_H
#define ARBUTUS_CONTROL_RESOURCE_API_H

#include "control/messages.h"
#include "store/commands.h"
#include "store/outcome.h"
#include "store/state_machine.h"

#include <optional>
#include <string>
#include <vector>

namespace arbutus::control {

/// Answer of the resource API: HTTP status and JSON body.
struct api_answer {
  int Status = 200;
  std::string Body;
};

/// What the leader does with an operator's call: answer at once, or propose a
/// command and answer from its outcome.
struct api_plan {
  std::optional<store::command> Command;
  api_answer Answer;
};

/// Reads a call and plans it against the present state. Reads are answered
/// from `Store`, which must be up to date under the leader lease.
[[nodiscard]] api_plan
planApiCall(const api_request_message &Call, const store::state_machine &Store,
            const std::vector<membership::live_node> &Nodes);

/// Answer to a write from the outcome of its command.
[[nodiscard]] api_answer answerOf(const store::command_outcome &Outcome);

/// Error answer with a type and a message.
[[nodiscard]] api_answer apiError(int Status, std::string_view Type,
                                  std::string_view Message);

} // namespace arbutus::control

#endif
