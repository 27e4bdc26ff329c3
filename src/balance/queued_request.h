#ifndef ARBUTUS_BALANCE_QUEUED_REQUEST_H
#define ARBUTUS_BALANCE_QUEUED_REQUEST_H

#include "balance/prompt_block.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace arbutus::balance {

/// The properties of a request that scheduling depends on.
struct queued_request {
  /// Unique in the scheduler that queues it.
  std::uint64_t RequestId = 0;
  team_id Team{};
  /// Cost charged to the team: in tokens for a model engine, 1 for a plain
  /// upstream.
  double Cost = 1;
  /// Blocks of the prompt in order; empty for a plain upstream.
  std::vector<prompt_block> Prompt;
  /// Upstreams at which an attempt of this request has failed.
  std::vector<upstream_id> Excluded;
  /// The request is refused if it has not been sent by this time, because its
  /// response would be too late.
  instant DispatchDeadline;
  /// Time by which the caller wants the response. The maximum value means that
  /// there is no target; the dispatch deadline still applies.
  instant ResponseTarget = instant::max();
};

} // namespace arbutus::balance

#endif
