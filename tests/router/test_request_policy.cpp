#include "router/address_answer.h"
#include "router/request_error.h"
#include "router/retry_budget.h"
#include "router/retry_policy.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::router;
using net::call_outcome;

namespace {

attempt_result base(call_outcome Outcome, int Status) {
  attempt_result Result;
  Result.Outcome = Outcome;
  Result.Status = Status;
  Result.HasAttemptsLeft = true;
  Result.HasRetryBudget = true;
  Result.HasTimeLeft = true;
  return Result;
}

} // namespace

// Guards against a second run of a non-idempotent request, a `not_run` answer
// for a request that may have run, and a wrong or cut answer passed on whole.
TEST_CASE("decideNextStep") {
  struct row {
    const char *Name;
    call_outcome Outcome;
    int Status;
    void (*Change)(attempt_result &);
    retry_action Step;
    execution_outcome Run;
  };
  const auto None = +[](attempt_result &) {};
  const auto Idempotent = +[](attempt_result &R) { R.Idempotent = true; };
  const row Rows[] = {
      {"good answer", call_outcome::Complete, 200, None,
       retry_action::ForwardResponse, execution_outcome::Unknown},
      {"client error is an answer", call_outcome::Complete, 404, None,
       retry_action::ForwardResponse, execution_outcome::Unknown},
      {"nothing sent is called again", call_outcome::NothingSent, 0, None,
       retry_action::Retry, execution_outcome::Unknown},
      {"nothing sent, no attempts left", call_outcome::NothingSent, 0,
       +[](attempt_result &R) { R.HasAttemptsLeft = false; },
       retry_action::Fail, execution_outcome::NotRun},
      {"nothing sent, no budget left", call_outcome::NothingSent, 0,
       +[](attempt_result &R) { R.HasRetryBudget = false; }, retry_action::Fail,
       execution_outcome::NotRun},
      {"sent without answer, not idempotent", call_outcome::SentNoAnswer, 0,
       None, retry_action::Fail, execution_outcome::Unknown},
      {"sent without answer, idempotent", call_outcome::SentNoAnswer, 0,
       Idempotent, retry_action::Retry, execution_outcome::Unknown},
      {"broken answer, not idempotent", call_outcome::AnswerBroken, 200, None,
       retry_action::Fail, execution_outcome::Unknown},
      {"refused before running", call_outcome::Complete, 503,
       +[](attempt_result &R) { R.RejectedBeforeExecution = true; },
       retry_action::Retry, execution_outcome::Unknown},
      {"refused before running, last attempt", call_outcome::Complete, 503,
       +[](attempt_result &R) {
         R.RejectedBeforeExecution = true;
         R.HasAttemptsLeft = false;
       },
       retry_action::Fail, execution_outcome::NotRun},
      {"server error of a non-idempotent call is its answer",
       call_outcome::Complete, 500, None, retry_action::ForwardResponse,
       execution_outcome::Unknown},
      {"overload of an idempotent call", call_outcome::Complete, 503,
       Idempotent, retry_action::Retry, execution_outcome::Unknown},
      {"answer for another request", call_outcome::Complete, 200,
       +[](attempt_result &R) { R.ResponseValid = false; }, retry_action::Fail,
       execution_outcome::Unknown},
      {"answer for another request, idempotent", call_outcome::Complete, 200,
       +[](attempt_result &R) {
         R.ResponseValid = false;
         R.Idempotent = true;
       },
       retry_action::Retry, execution_outcome::Unknown},
      {"stream broken after its begin", call_outcome::AnswerBroken, 200,
       +[](attempt_result &R) {
         R.Idempotent = true;
         R.ResponseStarted = true;
         R.Resumable = true;
       },
       retry_action::Resume, execution_outcome::Unknown},
      {"stream broken, cannot be resumed", call_outcome::AnswerBroken, 200,
       +[](attempt_result &R) {
         R.Idempotent = true;
         R.ResponseStarted = true;
       },
       retry_action::EndIncomplete, execution_outcome::Unknown},
      {"deadline passed after sending", call_outcome::DeadlinePassed, 0,
       +[](attempt_result &R) { R.HasTimeLeft = false; }, retry_action::Fail,
       execution_outcome::Unknown},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    auto Result = base(Row.Outcome, Row.Status);
    Row.Change(Result);
    const auto Decision = decideRetryAction(Result);
    CHECK(nameOf(Decision.Step) == nameOf(Row.Step));
    CHECK(nameOf(Decision.Outcome) == nameOf(Row.Run));
  }
}

// Guards against retries that add more than the stated share to the load.
TEST_CASE("retry_budget keeps retries at the stated share of calls") {
  for (const int Percent : {0, 5, 10, 50}) {
    retry_budget Budget;
    Budget.setRetryPercent(Percent);
    int Retries = 0;
    constexpr int Calls = 10'000;
    for (int I = 0; I < Calls; ++I) {
      Budget.deposit();
      Retries += Budget.tryWithdraw() ? 1 : 0;
    }
    CAPTURE(Percent);
    CHECK(Retries <= Calls * Percent / 100 + 10); // 10 are there at the start
    CHECK(Retries >= Calls * Percent / 100);
  }
}

// Guards against an error answer without type, outcome or Retry-After.
TEST_CASE("error answers have one shape") {
  for (const auto &Row : name_table<request_error>::Rows) {
    CAPTURE(Row.Name);
    const auto Answer =
        makeErrorResponse(Row.Value, execution_outcome::NotRun, "id-1");
    const auto Json = nlohmann::json::parse(Answer.Body);
    CHECK(Json["error"]["type"] == Row.Name);
    CHECK(Json["outcome"] == "not_run");
    CHECK(Json["request_id"] == "id-1");
    CHECK(Answer.Status >= 400);
    const bool Overload = Answer.Status == 429 || Answer.Status == 503;
    const auto Header = net::headerOf(Answer.Headers, "Retry-After");
    CHECK((!Overload || !Header.empty()));
  }
}

// Guards against leaving or suspected nodes in address answers, and against
// routers that send every caller to the same node.
TEST_CASE("addresses are live and spread over the nodes") {
  std::vector<membership::live_node> Nodes;
  for (std::uint32_t I = 1; I <= 12; ++I) {
    membership::live_node Node;
    Node.Info.Node = node_id{I};
    Node.Info.IsRouter = true;
    Node.Info.HttpAddress = "127.0.0.1:" + std::to_string(20000 + I);
    Node.Suspected = I == 11;
    Node.Leaving = I == 12;
    Nodes.push_back(Node);
  }
  address_order Order(0);
  std::map<std::string, int> First;
  constexpr int Callers = 10'000;
  for (int I = 0; I < Callers; ++I) {
    const std::string Team = "team-" + std::to_string(I % 16);
    const std::string Client = "10.0.0." + std::to_string(I);
    const auto Json = nlohmann::json::parse(
        addressAnswer(Nodes, Order, {Team, Client, ""}, 2000));
    REQUIRE(Json["addresses"].size() == 10);
    ++First[Json["addresses"][0]["address"].get<std::string>()];
  }
  CHECK(First.size() == 10);
  for (const auto &[Address, Count] : First) {
    CAPTURE(Address);
    CHECK(Count <= 1.5 * Callers / 10);
  }
}
