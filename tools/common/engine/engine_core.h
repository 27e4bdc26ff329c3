#ifndef ARBUTUS_TOOLS_COMMON_ENGINE_ENGINE_CORE_H
#define ARBUTUS_TOOLS_COMMON_ENGINE_ENGINE_CORE_H

#include "base/result.h"
#include "common/engine/batch.h"
#include "common/engine/cold_state.h"
#include "common/engine/engine_types.h"
#include "common/engine/prefix_cache.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::tools {

/// A model engine without I/O: batching, knee, falling over, cold state,
/// prefix cache, models, resumption and faults. The caller passes the time and
/// carries out the events.
class engine_core {
public:
  engine_core(engine_options Options, instant Start);

  /// Admits a request, or refuses it before it runs. Admission beyond the
  /// fall-over limit breaks all streams, this one included, and is refused.
  [[nodiscard]] result<admission, refusal> submit(const chat_request &Request,
                                                  instant Now);

  /// Ends a generation because its caller has gone.
  void cancel(generation_id Id, instant Now);

  /// Runs everything that is due by `Now`.
  void advance(instant Now);

  /// Events since the last call, in order.
  [[nodiscard]] std::vector<engine_event> takeEvents();

  /// Time of the next step or end of a loading, if any.
  [[nodiscard]] std::optional<instant> nextWakeUp() const;

  /// Makes the engine cold without any notice to callers.
  void makeCold(instant Now) { Cold.makeCold(Now); }

  /// Executes an order, or refuses it under an older fencing token.
  [[nodiscard]] result<void, order_refusal> order(const engine_order &Order,
                                                  instant Now);

  /// Sets a fault; false if its kind is unknown.
  [[nodiscard]] bool setFault(std::string_view Kind, std::int64_t Value);

  [[nodiscard]] engine_load load(instant Now);
  [[nodiscard]] const engine_stats &stats() const noexcept { return Stats; }
  [[nodiscard]] prefix_cache &cache() noexcept { return Cache; }
  [[nodiscard]] std::uint64_t fencingToken() const noexcept {
    return HighestToken;
  }

  /// Number of requests that the engine can bear now.
  [[nodiscard]] int bearable(instant Now);

private:
  /// A generation that runs, or waits for its model.
  struct generation {
    std::string RequestId;
    std::string Model;
    std::uint64_t Prompt = 0;
    int FirstToken = 0;
    int EndToken = 0;
    duration FirstTokenTime{};
    bool Waiting = false;
    /// Token after which the stream is cut without its end, or -1.
    int TruncateAfter = -1;
    /// Token whose chunk carries the id of another request, or -1.
    int WrongIdAt = -1;
  };

  /// What is kept of a broken generation for resumption.
  struct broken_generation {
    std::uint64_t Prompt;
    int Tokens;
    int EndToken;
    instant Until;
  };

  [[nodiscard]] std::optional<refusal> refuse(const chat_request &Request,
                                              instant Now);
  [[nodiscard]] result<admission, refusal> place(const chat_request &Request,
                                                 instant Now);
  [[nodiscard]] duration firstTokenTime(int Uncached, instant Now);
  [[nodiscard]] bool draw(std::int64_t Percent);
  void start(generation_id Id, generation &Generation, instant Now);
  void drawFaults(generation &Generation);
  void breakStream(generation_id Id, int Tokens, event_kind Kind, instant Now);
  void fallOver(instant Now);
  void emit(const batch_token &Token, instant Now);
  void finishLoading(instant Now);
  void keep(const generation &Generation, int Tokens, instant Now);

  engine_options Options;
  batch Batch;
  cold_state Cold;
  prefix_cache Cache;
  std::mt19937_64 Random;
  engine_faults Faults;
  engine_stats Stats;
  std::map<generation_id, generation> Generations;
  std::unordered_map<std::string, broken_generation> Broken;
  std::set<std::string> Models;
  std::map<std::string, instant> Loading;
  std::string Role = "mixed";
  std::vector<engine_event> Events;
  std::uint64_t LastId = 0;
  std::uint64_t HighestToken = 0;
  std::optional<instant> DownUntil;
};

} // namespace arbutus::tools

#endif
