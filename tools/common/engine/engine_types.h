#ifndef ARBUTUS_TOOLS_COMMON_ENGINE_ENGINE_TYPES_H
#define ARBUTUS_TOOLS_COMMON_ENGINE_ENGINE_TYPES_H

#include "base/clock.h"
#include "base/name_table.h"
#include "common/engine/batch.h"
#include "common/engine/cold_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::tools {

struct engine_options {
  std::uint64_t Seed = 0;
  /// Requests that run together at full speed.
  int Slots = 8;
  int ColdSlots = 2;
  /// Running requests beyond which the engine falls over; 0 means never. A
  /// cold engine falls over in proportion of `ColdSlots` to `Slots`.
  int FallOver = 0;
  duration FallOverTime = 5s;
  duration TokenTime = 20ms;
  duration FirstTokenTime = 20ms;
  /// Added to the first-token time for each prompt token that is not cached.
  duration PrefillTokenTime = 100us;
  /// Factor of the first-token time of a cold engine.
  int ColdFirstTokenFactor = 4;
  std::size_t CacheBlocks = 4096;
  cold_options Warming;
  bool StartWarm = false;
  duration ResumeTime = 10s;
  duration LoadModelTime = 1s;
  /// Models loaded at the start; an empty list accepts every model.
  std::vector<std::string> Models;
  bool CheckFencing = true;
};

/// Point from which a broken stream goes on.
struct resume_point {
  std::string RequestId;
  int Tokens = 0;
};

struct chat_request {
  std::string RequestId;
  std::string Model;
  std::string Prompt;
  int MaxTokens = 1;
  std::optional<resume_point> ResumeFrom;
};

struct admission {
  generation_id Id;
  std::uint64_t Prompt;
  int PromptTokens;
  int CachedTokens;
  /// Position of the first token of this answer; equal to `EndToken` if the
  /// answer resumes a stream that lacked only its end. No events follow then.
  int FirstToken;
  int EndToken;
};

enum class refusal {
  FallenOver,
  FailFault,
  UnknownModel,
  ResumeUnavailable,
  ResumeMismatch
};

struct order_refusal {
  /// Newest token that the engine has seen, or 0 if the order is malformed.
  std::uint64_t NewestToken;
};

enum class order_kind { LoadModel, UnloadModel, Role };

struct engine_order {
  order_kind Kind;
  /// Model to load or unload, or the new role.
  std::string Subject;
  std::uint64_t FencingToken;
};

enum class event_kind {
  /// One token; the last one ends the generation.
  Token,
  /// The stream breaks here: its connection closes.
  Broken,
  /// The engine fell over before or during the answer.
  FellOver
};

struct engine_event {
  event_kind Kind;
  generation_id Id;
  int Index = 0;
  bool Last = false;
  bool Duplicate = false;
  /// Id of another request to put on the chunk; empty for the right one.
  std::string WrongId = {};
};

struct engine_faults {
  std::int64_t BreakStreamAfterTokens = 0;
  std::int64_t DelayFirstTokenMs = 0;
  std::int64_t FailPercent = 0;
  std::int64_t WrongIdPercent = 0;
  std::int64_t DuplicateChunkPercent = 0;
  std::int64_t TruncatePercent = 0;
};

struct engine_stats {
  std::int64_t Tokens = 0;
  std::int64_t Admitted = 0;
  std::int64_t Completed = 0;
  std::int64_t Cancelled = 0;
  std::int64_t Broken = 0;
  std::int64_t Resumed = 0;
  std::int64_t Refused = 0;
  std::int64_t FallOvers = 0;
  int MaxRunning = 0;
  /// Admissions that left more running than the engine could bear.
  std::int64_t OverBearable = 0;
  /// Those of them while the engine was cold.
  std::int64_t OverBearableCold = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t CachedTokens = 0;
  std::int64_t OrdersExecuted = 0;
  std::int64_t OrdersRefused = 0;
  /// Executed orders whose token was older than the newest seen.
  std::int64_t StaleOrdersExecuted = 0;
  instant LastAdmission{};
};

struct engine_load {
  int Running = 0;
  /// Requests that wait for their model to load.
  int Waiting = 0;
  bool Cold = false;
  bool Down = false;
  std::vector<std::string> Models;
  std::vector<std::string> Loading;
  std::string Role;
  engine_stats Stats;
};

} // namespace arbutus::tools

namespace arbutus {

template <> struct name_table<tools::refusal> {
  static constexpr name_row<tools::refusal> Rows[] = {
      {tools::refusal::FallenOver, "overloaded"},
      {tools::refusal::FailFault, "internal_error"},
      {tools::refusal::UnknownModel, "model_not_found"},
      {tools::refusal::ResumeUnavailable, "resume_unavailable"},
      {tools::refusal::ResumeMismatch, "resume_mismatch"},
  };
};

template <> struct name_table<tools::order_kind> {
  static constexpr name_row<tools::order_kind> Rows[] = {
      {tools::order_kind::LoadModel, "load_model"},
      {tools::order_kind::UnloadModel, "unload_model"},
      {tools::order_kind::Role, "role"},
  };
};

} // namespace arbutus

#endif
