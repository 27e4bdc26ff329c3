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

/// Response of the admin API: HTTP status and JSON body.
struct api_response {
  int Status = 200;
  std::string Body;
};

/// How the leader handles an admin request: with `Command` it proposes the
/// command and responds with its outcome, else it sends `Response` at once.
struct api_plan {
  std::optional<store::command> Command;
  api_response Response;
};

/// Parses an admin request and checks it against the current state. Reads are
/// served from `Store`, which must be up to date under the leader lease.
[[nodiscard]] api_plan
planAdminRequest(const api_request_message &Request,
                 const store::state_machine &Store,
                 const std::vector<membership::live_node> &Nodes);

/// Response to a write whose command has this outcome.
[[nodiscard]] api_response toApiResponse(const store::command_outcome &Outcome);

[[nodiscard]] api_response apiError(int Status, std::string_view Type,
                                    std::string_view Message);

} // namespace arbutus::control

#endif
