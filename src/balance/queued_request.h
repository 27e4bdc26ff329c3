#ifndef ARBUTUS_BALANCE_QUEUED_REQUEST_H
#define ARBUTUS_BALANCE_QUEUED_REQUEST_H

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace arbutus::balance {

/// What the choice of an upstream needs to know about a request.
struct queued_request {
  /// Unique in this process.
  std::uint64_t RequestId = 0;
  team_id Team{};
  /// Work that is charged to the team: tokens, or 1 for a plain call.
  double Cost = 1;
  /// Tokens of the prompt, 0 for a plain call.
  std::uint64_t PromptTokens = 0;
  /// Hash of the part of the prompt that other requests share; requests with
  /// the same value should meet at one upstream. 0 if there is none.
  std::uint64_t Affinity = 0;
  /// Upstreams that this request has failed at.
  std::vector<upstream_id> Excluded;
  instant Deadline;
};

} // namespace arbutus::balance

#endif
