#include "engine_api.h"

#include "common/content.h"

#include <cstdlib>

namespace arbutus::tools {

namespace {

using nlohmann::json;

json errorJson(std::string_view Type, std::string_view Message) {
  return {{"error", {{"type", Type}, {"message", Message}}}};
}

void refuseBody(http_exchange &Exchange, std::string_view Message) {
  Exchange.respondJson(400, errorJson("invalid_request_error", Message).dump(),
                       {{"X-Not-Run", "true"}});
}

int statusOf(refusal Reason) noexcept {
  switch (Reason) {
  case refusal::FallenOver:
    return 503;
  case refusal::FailFault:
    return 500;
  case refusal::UnknownModel:
    return 404;
  case refusal::ResumeUnavailable:
    return 410;
  case refusal::ResumeMismatch:
    return 409;
  }
  return 500;
}

std::string hexText(std::uint64_t Value) {
  char Buffer[17];
  std::snprintf(Buffer, sizeof(Buffer), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer;
}

std::vector<std::uint64_t> blocksOf(const json &Body) {
  std::vector<std::uint64_t> Blocks;
  for (const auto &Item : Body.at("blocks")) {
    Blocks.push_back(
        std::strtoull(Item.get<std::string>().c_str(), nullptr, 16));
  }
  return Blocks;
}

json statsJson(const engine_stats &Stats) {
  return {{"tokens_total", Stats.Tokens},
          {"admitted_total", Stats.Admitted},
          {"completed_total", Stats.Completed},
          {"cancelled_total", Stats.Cancelled},
          {"broken_total", Stats.Broken},
          {"resumed_total", Stats.Resumed},
          {"refused_total", Stats.Refused},
          {"fall_overs", Stats.FallOvers},
          {"max_running", Stats.MaxRunning},
          {"over_bearable_total", Stats.OverBearable},
          {"over_bearable_cold_total", Stats.OverBearableCold},
          {"prompt_tokens_total", Stats.PromptTokens},
          {"cached_tokens_total", Stats.CachedTokens},
          {"orders_executed_total", Stats.OrdersExecuted},
          {"orders_refused_total", Stats.OrdersRefused},
          {"stale_orders_executed_total", Stats.StaleOrdersExecuted}};
}

} // namespace

engine_api::engine_api(http_server &Server, const engine_options &Options,
                       engine_api_options Api)
    : Server(Server), Options(Options), Api(Api),
      Core(Options, monotonic_clock::now()), Loads(Api.LoadLag),
      Incarnation(wallClockMillis()) {
  const auto Now = monotonic_clock::now();
  Loads.record(Now, Core.load(Now));
}

bool engine_api::setFault(const std::string &Item) {
  const auto Split = Item.find('=');
  if (Split == std::string::npos) {
    return false;
  }
  char *End = nullptr;
  const auto Value = std::strtoll(Item.c_str() + Split + 1, &End, 10);
  return *End == '\0' && End != Item.c_str() + Split + 1 &&
         Core.setFault(std::string_view(Item).substr(0, Split), Value);
}

void engine_api::handle(const http_request &Request,
                        const std::shared_ptr<http_exchange> &Exchange) {
  try {
    if (Request.Path == "/v1/chat/completions" && Request.Method == "POST") {
      chat(Request, Exchange);
    } else if (Request.Path.rfind("/admin/", 0) == 0) {
      admin(Request, *Exchange);
    } else if (Core.load(monotonic_clock::now()).Down) {
      Exchange->respondJson(503, errorJson("overloaded", "fallen over").dump());
    } else if (Request.Path == "/load") {
      answerLoad(*Exchange);
    } else if (Request.Path == "/cache/events") {
      answerCacheEvents(Request, *Exchange);
    } else if (Request.Path == "/kv/export" && Request.Method == "POST") {
      exportCache(json::parse(Request.Body), *Exchange);
    } else if (Request.Path == "/kv/import" && Request.Method == "POST") {
      importCache(json::parse(Request.Body), *Exchange);
    } else if (Request.Path == "/healthz") {
      Exchange->respondJson(200, R"({"status":"ok"})");
    } else {
      Exchange->respondJson(404, errorJson("not_found", Request.Path).dump());
    }
  } catch (const json::exception &Error) {
    refuseBody(*Exchange, Error.what());
  }
  pump();
}

void engine_api::chat(const http_request &Request,
                      const std::shared_ptr<http_exchange> &Exchange) {
  const auto Body = json::parse(Request.Body);
  chat_body Chat;
  Chat.Stream = Body.value("stream", false);
  Chat.Request.Model = Body.value("model", "");
  Chat.Request.MaxTokens = Body.value("max_tokens", 16);
  Chat.Request.RequestId =
      Body.value("request_id", std::string(Request.header("X-Request-Id")));
  if (const auto Messages = Body.find("messages"); Messages != Body.end()) {
    Chat.Request.Prompt = promptText(*Messages);
  }
  if (const auto From = Body.find("resume_from"); From != Body.end()) {
    Chat.Request.ResumeFrom =
        resume_point{From->at("request_id").get<std::string>(),
                     From->at("tokens").get<int>()};
    if (Chat.Request.RequestId.empty()) {
      Chat.Request.RequestId = Chat.Request.ResumeFrom->RequestId;
    }
  } else if (Chat.Request.Prompt.empty()) {
    refuseBody(*Exchange, "messages is missing or empty");
    return;
  }
  if (Chat.Request.MaxTokens < 1) {
    refuseBody(*Exchange, "max_tokens must be at least 1");
    return;
  }
  if (Chat.Request.RequestId.empty()) {
    Chat.Request.RequestId = "chatcmpl-" + std::to_string(Incarnation) + "-" +
                             std::to_string(++LastGeneratedId);
  }
  const auto Placed = Core.submit(Chat.Request, monotonic_clock::now());
  if (!Placed) {
    const auto Reason = Placed.error();
    http_headers Headers{{"X-Not-Run", "true"}};
    if (Reason == refusal::FallenOver) {
      Headers.emplace_back("Retry-After", "1");
    }
    Exchange->respondJson(
        statusOf(Reason),
        errorJson(nameOf(Reason), "the request did not run").dump(),
        std::move(Headers));
    return;
  }
  beginAnswer(Chat, Placed.value(), Exchange);
}

void engine_api::beginAnswer(const chat_body &Body, const admission &Admission,
                             const std::shared_ptr<http_exchange> &Exchange) {
  answer Answer;
  Answer.Exchange = Exchange;
  // Escaped once here, because the texts go into every chunk.
  Answer.RequestId = json(Body.Request.RequestId).dump();
  Answer.Model = json(Body.Request.Model).dump();
  Answer.Stream = Body.Stream;
  Answer.MaxTokens = Body.Request.MaxTokens;
  Answer.Admission = Admission;
  if (Answer.Stream) {
    Exchange->startStream(200, {{"Content-Type", "text/event-stream"},
                                {"Cache-Control", "no-store"}});
  }
  if (Admission.FirstToken == Admission.EndToken) {
    complete(Answer);
    return;
  }
  Exchange->OnDisconnect = [this, Id = Admission.Id] {
    Answers.erase(Id);
    Core.cancel(Id, monotonic_clock::now());
    pump();
  };
  Answers.emplace(Admission.Id, std::move(Answer));
}

void engine_api::admin(const http_request &Request, http_exchange &Exchange) {
  const auto Now = monotonic_clock::now();
  const auto &Path = Request.Path;
  if (Path == "/admin/stats") {
    const auto Load = Core.load(Now);
    auto Body = loadJson(Load, duration(0));
    Body["cold"] = Load.Cold;
    Body["down"] = Load.Down;
    Body["bearable"] = Core.bearable(Now);
    Body["fencing_token"] = Core.fencingToken();
    Body["cache_blocks"] = Core.cache().size();
    Body["last_admission_ms"] =
        Load.Stats.Admitted == 0
            ? 0
            : wallClockMillis() -
                  toMicros(Now - Load.Stats.LastAdmission) / 1000;
    Exchange.respondJson(200, Body.dump());
  } else if (const bool Post = Request.Method == "POST";
             Post && Path == "/admin/cold") {
    Core.makeCold(Now);
    Exchange.respondJson(200, "{}");
  } else if (Post && Path == "/admin/order") {
    order(json::parse(Request.Body), Exchange);
  } else if (Post && Path == "/admin/fault") {
    const auto Body = json::parse(Request.Body);
    if (Core.setFault(Body.at("kind").get<std::string>(),
                      Body.at("value").get<std::int64_t>())) {
      Exchange.respondJson(200, "{}");
    } else {
      refuseBody(Exchange, "unknown kind of fault");
    }
  } else {
    Exchange.respondJson(404, errorJson("not_found", Path).dump());
  }
}

void engine_api::order(const json &Body, http_exchange &Exchange) {
  const auto Kind = valueOf<order_kind>(Body.at("kind").get<std::string>());
  if (!Kind) {
    refuseBody(Exchange, "unknown kind of order");
    return;
  }
  const char *Subject =
      *Kind == order_kind::Role && Body.contains("role") ? "role" : "model";
  const engine_order Order{*Kind, Body.at(Subject).get<std::string>(),
                           Body.at("fencing_token").get<std::uint64_t>()};
  const auto Done = Core.order(Order, monotonic_clock::now());
  if (!Done) {
    auto Error = errorJson("stale_fencing_token", "a newer token was seen");
    Error["newest_token"] = Done.error().NewestToken;
    Exchange.respondJson(409, Error.dump());
    return;
  }
  Exchange.respondJson(
      202,
      json{{"accepted", true}, {"newest_token", Core.fencingToken()}}.dump());
}

json engine_api::loadJson(const engine_load &Load, duration Age) const {
  json Body = statsJson(Load.Stats);
  Body["incarnation"] = Incarnation;
  Body["running"] = Load.Running;
  Body["waiting"] = Load.Waiting;
  Body["slots"] = Options.Slots;
  Body["models"] = Load.Models;
  Body["loading"] = Load.Loading;
  Body["role"] = Load.Role;
  Body["measured_at_ms"] = wallClockMillis() - toMicros(Age) / 1000;
  Body["lag_ms"] = toMicros(Age) / 1000;
  return Body;
}

void engine_api::answerLoad(http_exchange &Exchange) {
  const auto Now = monotonic_clock::now();
  Exchange.respondJson(200, loadJson(Loads.at(Now), Api.LoadLag).dump());
}

void engine_api::answerCacheEvents(const http_request &Request,
                                   http_exchange &Exchange) {
  const auto Visible = monotonic_clock::now() - Api.CacheLag;
  const auto Since =
      std::strtoull(Request.queryValue("since").c_str(), nullptr, 10);
  constexpr std::size_t MostPerAnswer = 1000;
  json Events = json::array();
  std::uint64_t Next = Since;
  for (const auto &Event : Core.cache().events()) {
    if (Event.Number <= Since) {
      continue;
    }
    if (Event.At > Visible || Events.size() >= MostPerAnswer) {
      break;
    }
    Next = Event.Number;
    if (missingEvent(Event.Number, Api.CacheGapPercent, Options.Seed)) {
      continue;
    }
    json Row{{"seq", Event.Number}, {"type", nameOf(Event.Kind)}};
    if (Event.Kind != cache_event_kind::Cleared) {
      Row["block_hash"] = hexText(Event.Block);
    }
    Events.push_back(std::move(Row));
  }
  Exchange.respondJson(200, json{{"events", std::move(Events)},
                                 {"next", Next},
                                 {"incarnation", Incarnation}}
                                .dump());
}

void engine_api::exportCache(const json &Body, http_exchange &Exchange) {
  std::vector<std::uint64_t> Blocks;
  if (const auto Messages = Body.find("messages"); Messages != Body.end()) {
    for (const auto Block : prefixBlocks(promptText(*Messages))) {
      if (!Core.cache().contains(Block)) {
        break;
      }
      Blocks.push_back(Block);
    }
  } else {
    Blocks = Core.cache().blocks();
  }
  json Names = json::array();
  for (const auto Block : Blocks) {
    Names.push_back(hexText(Block));
  }
  if (Body.value("remove", false)) {
    Core.cache().remove(Blocks, monotonic_clock::now());
  }
  Exchange.respondJson(200, json{{"blocks", std::move(Names)}}.dump());
}

void engine_api::importCache(const json &Body, http_exchange &Exchange) {
  const auto Blocks = blocksOf(Body);
  static_cast<void>(Core.cache().use(Blocks, monotonic_clock::now()));
  Exchange.respondJson(200, json{{"imported", Blocks.size()}}.dump());
}

void engine_api::pump() {
  const auto Now = monotonic_clock::now();
  Core.advance(Now);
  for (const auto &Event : Core.takeEvents()) {
    carryOut(Event);
  }
  Loads.record(Now, Core.load(Now));
  const auto Next = Core.nextWakeUp();
  if (Next && (!WakeAt || *Next < *WakeAt)) {
    WakeAt = Next;
    const auto Delay = std::max(duration(0), *Next - Now);
    Server.callAfter(Delay, [this, At = *Next] {
      if (WakeAt == At) {
        WakeAt.reset();
      }
      pump();
    });
  }
}

void engine_api::carryOut(const engine_event &Event) {
  const auto Found = Answers.find(Event.Id);
  if (Found == Answers.end()) {
    return;
  }
  if (Event.Kind == event_kind::Token) {
    auto &Answer = Found->second;
    writeToken(Answer, Event);
    if (!Event.Last) {
      return;
    }
    complete(Answer);
  } else {
    Found->second.Exchange->abort();
  }
  Answers.erase(Found);
}

void engine_api::writeToken(answer &Answer, const engine_event &Event) {
  const auto Text = tokenText(Answer.Admission.Prompt, Event.Index);
  if (!Answer.Stream) {
    Answer.Content += Text;
    return;
  }
  const bool First = Event.Index == 0;
  std::string Chunk =
      "data: {\"id\":" +
      (Event.WrongId.empty() ? Answer.RequestId : json(Event.WrongId).dump()) +
      ",\"object\":\"chat.completion.chunk\",\"model\":" + Answer.Model +
      ",\"choices\":[{\"index\":0,\"delta\":{" +
      (First ? "\"role\":\"assistant\"," : "") + "\"content\":\"" + Text +
      "\"},\"finish_reason\":null}],\"token_index\":" +
      std::to_string(Event.Index) + "}\n\n";
  if (Event.Duplicate) {
    Chunk += Chunk;
  }
  Answer.Exchange->write(std::move(Chunk));
}

void engine_api::complete(answer &Answer) {
  const auto &Admission = Answer.Admission;
  const bool AtLimit = Admission.EndToken >= Answer.MaxTokens;
  const std::string Finish = AtLimit ? "length" : "stop";
  const json Usage{
      {"prompt_tokens", Admission.PromptTokens},
      {"completion_tokens", Admission.EndToken},
      {"total_tokens", Admission.PromptTokens + Admission.EndToken},
      {"prompt_tokens_details", {{"cached_tokens", Admission.CachedTokens}}}};
  const std::string Head =
      "{\"id\":" + Answer.RequestId + ",\"object\":\"chat.completion" +
      (Answer.Stream ? ".chunk" : "") + "\",\"model\":" + Answer.Model +
      ",\"choices\":[{\"index\":0,\"finish_reason\":\"" + Finish + "\",";
  const std::string Tail = ",\"usage\":" + Usage.dump() + "}";
  if (Answer.Stream) {
    Answer.Exchange->write("data: " + Head + "\"delta\":{}}]" + Tail +
                           "\n\ndata: [DONE]\n\n");
    Answer.Exchange->finish();
  } else {
    Answer.Exchange->respondJson(
        200, Head + "\"message\":{\"role\":\"assistant\",\"content\":\"" +
                 Answer.Content + "\"}}]" + Tail);
  }
}

} // namespace arbutus::tools
