#include "service_api.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::tools {

namespace {

using nlohmann::json;

std::string errorText(std::string_view Type, std::string_view Message) {
  return json{{"error", {{"type", Type}, {"message", Message}}}}.dump();
}

json executionJson(const execution &Execution) {
  return json::parse(executionLine(Execution));
}

} // namespace

service_api::service_api(http_server &Server, const service_options &Options)
    : Server(Server), Options(Options), Log(Options.Record),
      Random(Options.Seed), Loads(Options.LoadLag),
      Incarnation(wallClockMillis()) {
  recordLoad();
}

void service_api::handle(const http_request &Request,
                         const std::shared_ptr<http_exchange> &Exchange) {
  if (Request.Path == "/load") {
    answerLoad(*Exchange);
    return;
  }
  if (Request.Path == "/healthz") {
    Exchange->respondJson(200, R"({"status":"ok"})");
    return;
  }
  if (Request.Path.rfind("/admin/", 0) == 0) {
    admin(Request, *Exchange);
    return;
  }
  if (draw(Options.Faults.FailPercent)) {
    ++Load.Refused;
    Exchange->respondJson(503, errorText("unavailable", "injected failure"),
                          {{"X-Not-Run", "true"}});
    return;
  }
  if (Load.Running >= Options.Slots) {
    Queue.push_back({Request, Exchange});
    Load.Waiting = static_cast<int>(Queue.size());
    recordLoad();
    return;
  }
  start({Request, Exchange});
}

void service_api::start(job Job) {
  ++Load.Running;
  Load.MaxRunning = std::max(Load.MaxRunning, Load.Running);
  recordLoad();
  if (Options.WorkTime == duration(0)) {
    finish(Job);
    return;
  }
  Server.callAfter(Options.WorkTime,
                   [this, Job = std::move(Job)] { finish(Job); });
}

void service_api::finish(const job &Job) {
  // A request is executed even if its caller has gone, as services do.
  auto Answer = execute(Job.Request);
  --Load.Running;
  ++Load.Completed;
  recordLoad();
  if (Answer.Status < 300 && draw(Options.Faults.CloseAfterExecutePercent)) {
    Job.Exchange->abort();
  } else {
    send(Job, std::move(Answer));
  }
  if (!Queue.empty()) {
    auto Next = std::move(Queue.front());
    Queue.pop_front();
    Load.Waiting = static_cast<int>(Queue.size());
    start(std::move(Next));
  }
}

void service_api::send(const job &Job, answer Answer) {
  http_headers Headers;
  if (const auto Id = Job.Request.header("X-Request-Id"); !Id.empty()) {
    Headers.emplace_back("X-Request-Id", Id);
  }
  if (Options.Faults.DelayAnswerMs == 0) {
    Job.Exchange->respondJson(Answer.Status, std::move(Answer.Body),
                              std::move(Headers));
    return;
  }
  Server.callAfter(std::chrono::milliseconds(Options.Faults.DelayAnswerMs),
                   [Exchange = Job.Exchange, Answer, Headers] {
                     Exchange->respondJson(Answer.Status, Answer.Body, Headers);
                   });
}

service_api::answer service_api::execute(const http_request &Request) {
  try {
    const bool Ledger = Options.Kind == service_kind::Ledger;
    if (Request.Method == "POST" &&
        Request.Path == (Ledger ? "/deposits" : "/orders")) {
      return executePost(Request);
    }
    if (Request.Method == "GET" &&
        Request.Path.rfind(Ledger ? "/balances/" : "/orders/", 0) == 0) {
      return lookUp(Request);
    }
    return {404, errorText("not_found", Request.Path)};
  } catch (const json::exception &Error) {
    return {400, errorText("invalid_request_error", Error.what())};
  }
}

service_api::answer service_api::executePost(const http_request &Request) {
  const auto Body = json::parse(Request.Body);
  const bool Ledger = Options.Kind == service_kind::Ledger;
  execution Execution;
  Execution.Ref = Body.at("ref").get<std::string>();
  Execution.Subject = Body.at(Ledger ? "account" : "item").get<std::string>();
  Execution.Amount = Ledger ? Body.at("amount").get<std::int64_t>() : 1;
  Execution.Method = Request.Method;
  Execution.Path = Request.Path;
  Execution.RequestId = Request.header("X-Request-Id");
  Execution.IdempotencyKey = Request.header("Idempotency-Key");
  Execution.TimeMs = wallClockMillis();
  Execution.Worker = Options.Port;
  Log.append(Execution);
  json Answer{{"ref", Execution.Ref}, {"worker", Options.Port}};
  if (Ledger) {
    Answer["account"] = Execution.Subject;
    Answer["amount"] = Execution.Amount;
    Answer["balance"] = Log.balance(Execution.Subject);
  } else {
    Answer["item"] = Execution.Subject;
    Answer["state"] = "accepted";
  }
  return {201, Answer.dump()};
}

service_api::answer service_api::lookUp(const http_request &Request) {
  Log.refresh();
  const auto Name = Request.Path.substr(Request.Path.rfind('/') + 1);
  if (Options.Kind == service_kind::Ledger) {
    return {200, json{{"account", Name},
                      {"balance", Log.balance(Name)},
                      {"worker", Options.Port}}
                     .dump()};
  }
  const auto *Found = Log.find(Name);
  if (Found == nullptr) {
    return {404, json{{"ref", Name},
                      {"error",
                       {{"type", "not_found"},
                        {"message", "no order has this ref"}}}}
                     .dump()};
  }
  return {200, json{{"ref", Name},
                    {"item", Found->Subject},
                    {"executions", Log.countOf(Name)},
                    {"worker", Options.Port}}
                   .dump()};
}

void service_api::admin(const http_request &Request, http_exchange &Exchange) {
  if (Request.Path == "/admin/executions") {
    Log.refresh();
    json Body{{"total", Log.all().size()}, {"doubles", Log.doubles()}};
    if (Request.queryValue("summary").empty()) {
      auto &Rows = Body["executions"] = json::array();
      for (const auto &Execution : Log.all()) {
        Rows.push_back(executionJson(Execution));
      }
    }
    Exchange.respondJson(200, Body.dump());
    return;
  }
  if (Request.Path != "/admin/fault" || Request.Method != "POST") {
    Exchange.respondJson(404, errorText("not_found", Request.Path));
    return;
  }
  const auto Body = json::parse(Request.Body, nullptr, false);
  const auto Kind = Body.is_object() ? Body.value("kind", "") : "";
  const std::pair<std::string_view, std::int64_t service_faults::*> Table[] = {
      {"close_after_execute_percent",
       &service_faults::CloseAfterExecutePercent},
      {"delay_answer_ms", &service_faults::DelayAnswerMs},
      {"fail_percent", &service_faults::FailPercent},
  };
  for (const auto &[Name, Member] : Table) {
    if (Name == Kind) {
      Options.Faults.*Member = Body.value("value", std::int64_t(0));
      Exchange.respondJson(200, "{}");
      return;
    }
  }
  Exchange.respondJson(
      400, errorText("invalid_request_error", "unknown kind of fault"));
}

void service_api::answerLoad(http_exchange &Exchange) {
  const auto Lag = toMicros(Options.LoadLag) / 1000;
  const auto Sample = Loads.at(monotonic_clock::now());
  Exchange.respondJson(200, json{{"incarnation", Incarnation},
                                 {"running", Sample.Running},
                                 {"waiting", Sample.Waiting},
                                 {"slots", Options.Slots},
                                 {"models", json::array()},
                                 {"measured_at_ms", wallClockMillis() - Lag},
                                 {"lag_ms", Lag},
                                 {"max_running", Sample.MaxRunning},
                                 {"completed_total", Sample.Completed},
                                 {"refused_total", Sample.Refused}}
                                .dump());
}

bool service_api::draw(std::int64_t Percent) {
  return Percent > 0 &&
         std::uniform_int_distribution<std::int64_t>(0, 99)(Random) < Percent;
}

void service_api::recordLoad() { Loads.record(monotonic_clock::now(), Load); }

} // namespace arbutus::tools
