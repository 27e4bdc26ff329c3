#ifndef ARBUTUS_BALANCE_QUEUED_REQUEST_H
#define ARBUTUS_BALANCE_QUEUED_REQUEST_H

#include "balance/prompt_block.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace arbutus::balance {

/// What the choice of an upstream needs to know about a request.
struct queued_request {
  /// Unique in the pool that queues it.
  std::uint64_t RequestId = 0;
  team_id Team{};
  /// Work that is charged to the team: tokens, or 1 for a plain call.
  double Cost = 1;
  /// The prompt's parts in order; empty for a plain call.
  std::vector<prompt_block> Prompt;
  /// Upstreams that this request has failed at.
  std::vector<upstream_id> Excluded;
  /// A request that was not sent by then is refused, because its answer would
  /// come too late.
  instant DispatchDeadline;
  /// When an answer is wanted at the latest, if that is earlier than any answer
  /// to a request sent at `DispatchDeadline` would come.
  instant ResponseTarget = instant::max();
};

} // namespace arbutus::balance

#endif
