#include "common/engine/engine_core.h"

#include "common/content.h"

#include <algorithm>

namespace arbutus::tools {

engine_core::engine_core(engine_options Options, instant Start)
    : Options(std::move(Options)), Batch(this->Options.TokenTime),
      Cold(this->Options.Warming, Start), Cache(this->Options.CacheBlocks),
      Random(this->Options.Seed),
      Models(this->Options.Models.begin(), this->Options.Models.end()) {
  if (this->Options.StartWarm) {
    Cold.makeWarm();
  }
}

result<admission, refusal> engine_core::submit(const chat_request &Request,
                                               instant Now) {
  advance(Now);
  if (const auto Reason = refuse(Request, Now)) {
    ++Stats.Refused;
    return *Reason;
  }
  const bool IsCold = Cold.cold(Now);
  const int Limit =
      IsCold ? (Options.FallOver * Options.ColdSlots + Options.Slots - 1) /
                   std::max(1, Options.Slots)
             : Options.FallOver;
  if (Options.FallOver > 0 && Batch.running() >= Limit) {
    fallOver(Now);
    ++Stats.Refused;
    return refusal::FallenOver;
  }
  auto Placed = place(Request, Now);
  if (!Placed) {
    ++Stats.Refused;
  }
  return Placed;
}

std::optional<refusal> engine_core::refuse(const chat_request &Request,
                                           instant Now) {
  if (DownUntil && Now < *DownUntil) {
    return refusal::FallenOver;
  }
  DownUntil.reset();
  if (draw(Faults.FailPercent)) {
    return refusal::FailFault;
  }
  const bool AnyModel = Options.Models.empty();
  if (!AnyModel && Models.count(Request.Model) == 0 &&
      Loading.count(Request.Model) == 0) {
    return refusal::UnknownModel;
  }
  return std::nullopt;
}

result<admission, refusal> engine_core::place(const chat_request &Request,
                                              instant Now) {
  generation Generation;
  Generation.RequestId = Request.RequestId;
  Generation.Model = Request.Model;
  const int PromptTokens = promptTokens(Request.Prompt);
  int Cached = PromptTokens;
  if (Request.ResumeFrom) {
    const auto Found = Broken.find(Request.ResumeFrom->RequestId);
    if (Found == Broken.end() || Found->second.Until < Now) {
      return refusal::ResumeUnavailable;
    }
    const auto &Kept = Found->second;
    const int Tokens = Request.ResumeFrom->Tokens;
    if (Tokens < 0 || Tokens > Kept.Tokens ||
        (!Request.Prompt.empty() &&
         promptHash(Request.Prompt) != Kept.Prompt)) {
      return refusal::ResumeMismatch;
    }
    Generation.Prompt = Kept.Prompt;
    Generation.FirstToken = Tokens;
    Generation.EndToken = Kept.EndToken;
    ++Stats.Resumed;
  } else {
    Generation.Prompt = promptHash(Request.Prompt);
    Generation.EndToken = outputTokens(Generation.Prompt, Request.MaxTokens);
    constexpr int BlockTokens = PrefixBlockBytes / PromptBytesPerToken;
    const auto Hits = Cache.use(prefixBlocks(Request.Prompt), Now);
    Cached = std::min(PromptTokens, static_cast<int>(Hits) * BlockTokens);
    Stats.PromptTokens += PromptTokens;
    Stats.CachedTokens += Cached;
  }
  Generation.FirstTokenTime = firstTokenTime(PromptTokens - Cached, Now);
  const auto Id = generation_id{++LastId};
  ++Stats.Admitted;
  Stats.LastAdmission = Now;
  const admission Result{Id,     Generation.Prompt,     PromptTokens,
                         Cached, Generation.FirstToken, Generation.EndToken};
  if (Result.FirstToken == Result.EndToken) {
    ++Stats.Completed;
    return Result;
  }
  drawFaults(Generation);
  auto &Stored = Generations.emplace(Id, std::move(Generation)).first->second;
  if (Loading.count(Stored.Model) > 0) {
    Stored.Waiting = true;
  } else {
    start(Id, Stored, Now);
  }
  return Result;
}

duration engine_core::firstTokenTime(int Uncached, instant Now) {
  duration Time = Options.FirstTokenTime + Options.PrefillTokenTime * Uncached;
  if (Cold.cold(Now)) {
    Time *= Options.ColdFirstTokenFactor;
  }
  return Time + std::chrono::milliseconds(Faults.DelayFirstTokenMs);
}

bool engine_core::draw(std::int64_t Percent) {
  return Percent > 0 &&
         std::uniform_int_distribution<std::int64_t>(0, 99)(Random) < Percent;
}

void engine_core::drawFaults(generation &Generation) {
  std::uniform_int_distribution<int> Token(Generation.FirstToken,
                                           Generation.EndToken - 1);
  if (draw(Faults.TruncatePercent)) {
    Generation.TruncateAfter = Token(Random);
  }
  if (draw(Faults.WrongIdPercent)) {
    Generation.WrongIdAt = Token(Random);
  }
}

void engine_core::start(generation_id Id, generation &Generation, instant Now) {
  Generation.Waiting = false;
  Batch.add(Id, Generation.FirstToken, Generation.EndToken,
            Now + Generation.FirstTokenTime);
  Stats.MaxRunning = std::max(Stats.MaxRunning, Batch.running());
  if (Batch.running() > bearable(Now)) {
    ++Stats.OverBearable;
    Stats.OverBearableCold += Cold.cold(Now) ? 1 : 0;
  }
}

void engine_core::cancel(generation_id Id, instant Now) {
  advance(Now);
  const auto Found = Generations.find(Id);
  if (Found == Generations.end()) {
    return;
  }
  if (const auto Next = Batch.remove(Id)) {
    keep(Found->second, *Next, Now);
  }
  Generations.erase(Found);
  ++Stats.Cancelled;
}

void engine_core::keep(const generation &Generation, int Tokens, instant Now) {
  std::erase_if(Broken,
                [Now](const auto &Item) { return Item.second.Until < Now; });
  Broken.insert_or_assign(Generation.RequestId,
                          broken_generation{Generation.Prompt, Tokens,
                                            Generation.EndToken,
                                            Now + Options.ResumeTime});
}

void engine_core::breakStream(generation_id Id, int Tokens, event_kind Kind,
                              instant Now) {
  const auto Found = Generations.find(Id);
  keep(Found->second, Tokens, Now);
  Batch.remove(Id);
  Generations.erase(Found);
  ++Stats.Broken;
  Events.push_back({Kind, Id});
}

void engine_core::fallOver(instant Now) {
  ++Stats.FallOvers;
  DownUntil = Now + Options.FallOverTime;
  while (!Generations.empty()) {
    const auto &[Id, Generation] = *Generations.begin();
    const int Tokens = Batch.remove(Id).value_or(Generation.FirstToken);
    breakStream(Id, Tokens, event_kind::FellOver, Now);
  }
  Cache.clear(Now);
  // The engine comes back as after a restart.
  Cold.makeCold(*DownUntil);
}

void engine_core::advance(instant Now) {
  finishLoading(Now);
  for (const auto &Token : Batch.advance(Now, bearable(Now))) {
    emit(Token, Now);
  }
}

void engine_core::emit(const batch_token &Token, instant Now) {
  const auto Found = Generations.find(Token.Generation);
  if (Found == Generations.end()) {
    return;
  }
  const auto &Generation = Found->second;
  ++Stats.Tokens;
  engine_event Event{event_kind::Token, Token.Generation, Token.Index,
                     Token.Last};
  Event.Duplicate = draw(Faults.DuplicateChunkPercent);
  if (Token.Index == Generation.WrongIdAt) {
    const auto Other = std::find_if(
        Generations.begin(), Generations.end(),
        [&](const auto &Item) { return Item.first != Token.Generation; });
    Event.WrongId = Other == Generations.end() ? "other-" + Generation.RequestId
                                               : Other->second.RequestId;
  }
  const int Sent = Token.Index - Generation.FirstToken + 1;
  const bool Cut = Token.Index == Generation.TruncateAfter ||
                   (Faults.BreakStreamAfterTokens > 0 && !Token.Last &&
                    Sent >= Faults.BreakStreamAfterTokens);
  if (Cut) {
    Event.Last = false;
  }
  Events.push_back(std::move(Event));
  if (Cut) {
    breakStream(Token.Generation, Token.Index + 1, event_kind::Broken, Now);
  } else if (Token.Last) {
    Generations.erase(Found);
    ++Stats.Completed;
    Cold.countCompleted();
  }
}

void engine_core::finishLoading(instant Now) {
  for (auto It = Loading.begin(); It != Loading.end();) {
    if (It->second > Now) {
      ++It;
      continue;
    }
    const std::string Model = It->first;
    Models.insert(Model);
    It = Loading.erase(It);
    for (auto &[Id, Generation] : Generations) {
      if (Generation.Waiting && Generation.Model == Model) {
        start(Id, Generation, Now);
      }
    }
  }
}

std::vector<engine_event> engine_core::takeEvents() {
  return std::exchange(Events, {});
}

std::optional<instant> engine_core::nextWakeUp() const {
  auto Next = Batch.nextStep();
  for (const auto &[Model, ReadyAt] : Loading) {
    Next = Next ? std::min(*Next, ReadyAt) : ReadyAt;
  }
  return Next;
}

result<void, order_refusal> engine_core::order(const engine_order &Order,
                                               instant Now) {
  advance(Now);
  const bool Stale = Order.FencingToken < HighestToken;
  if (Stale && Options.CheckFencing) {
    ++Stats.OrdersRefused;
    return order_refusal{HighestToken};
  }
  HighestToken = std::max(HighestToken, Order.FencingToken);
  ++Stats.OrdersExecuted;
  Stats.StaleOrdersExecuted += Stale ? 1 : 0;
  switch (Order.Kind) {
  case order_kind::LoadModel:
    if (Models.count(Order.Subject) == 0) {
      Loading.emplace(Order.Subject, Now + Options.LoadModelTime);
    }
    break;
  case order_kind::UnloadModel:
    Models.erase(Order.Subject);
    break;
  case order_kind::Role:
    Role = Order.Subject;
    break;
  }
  return outcome::success();
}

bool engine_core::setFault(std::string_view Kind, std::int64_t Value) {
  const std::pair<std::string_view, std::int64_t engine_faults::*> Table[] = {
      {"break_stream_after_tokens", &engine_faults::BreakStreamAfterTokens},
      {"delay_first_token_ms", &engine_faults::DelayFirstTokenMs},
      {"fail_percent", &engine_faults::FailPercent},
      {"wrong_id_percent", &engine_faults::WrongIdPercent},
      {"duplicate_chunk_percent", &engine_faults::DuplicateChunkPercent},
      {"truncate_percent", &engine_faults::TruncatePercent},
  };
  for (const auto &[Name, Member] : Table) {
    if (Name == Kind) {
      Faults.*Member = Value;
      return true;
    }
  }
  return false;
}

engine_load engine_core::load(instant Now) {
  engine_load Load;
  Load.Running = Batch.running();
  Load.Waiting = static_cast<int>(Generations.size()) - Load.Running;
  Load.Cold = Cold.cold(Now);
  Load.Down = DownUntil && Now < *DownUntil;
  Load.Models.assign(Models.begin(), Models.end());
  for (const auto &[Model, ReadyAt] : Loading) {
    Load.Loading.push_back(Model);
  }
  Load.Role = Role;
  Load.Stats = Stats;
  return Load;
}

int engine_core::bearable(instant Now) {
  return Cold.cold(Now) ? Options.ColdSlots : Options.Slots;
}

} // namespace arbutus::tools
