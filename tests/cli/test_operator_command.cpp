#include "cli/operator_command.h"
#include "cli/resource_file.h"
#include <catch2/catch.hpp>
#include <stdlib.h> // NOLINT: mkstemp is POSIX
#include <unistd.h>

#include <fstream>
#include <sstream>

using namespace arbutus;
using namespace arbutus::cli;

namespace {

/// Answers calls from a script and records them.
struct fake_servers {
  std::vector<api_answer> Script;
  std::vector<std::pair<std::string, api_call>> Calls;
  int Waits = 0;

  api_client client() {
    return {{"a:1", "b:1"},
            [this](const std::string &Server, const api_call &Call) {
              Calls.emplace_back(Server, Call);
              const auto Index =
                  std::min(Calls.size(), Script.size()) - std::size_t{1};
              return Script.at(Index);
            },
            [this] { ++Waits; }};
  }
};

api_answer answer(int Status, std::string Body) {
  return {delivery::Answered, Status, std::move(Body), ""};
}
const api_answer NotSent{delivery::NotSent, 0, "", "refused"};
const api_answer Lost{delivery::Lost, 0, "", "reset"};

std::string failureBody(const std::string &Type) {
  return R"({"error":{"type":")" + Type + R"(","message":"m"}})";
}

struct command_run {
  exit_code Code;
  std::string Out;
  std::string Error;
};

command_run runWith(fake_servers &Servers, command Command) {
  std::ostringstream Out;
  std::ostringstream Error;
  Command.Output = output_format::Table;
  auto Client = Servers.client();
  const auto Code = runOperatorCommand(Command, Client, {Out, Error});
  return {Code, Out.str(), Error.str()};
}

command make(command_kind Kind, const std::string &ResourceKind = "",
             const std::string &Name = "") {
  command Command;
  Command.Kind = Kind;
  Command.ResourceKind = ResourceKind;
  Command.Name = Name;
  return Command;
}

} // namespace

// Guards against a write that runs twice or is called failed when it may have
// run, and against a server that is given up too early.
TEST_CASE("calls try the servers in order and resend lost writes") {
  struct row {
    std::string Name;
    bool IsWrite;
    std::vector<api_answer> Script;
    std::optional<exit_code> Failure;
    std::size_t Calls;
  };
  const auto Ok = answer(200, "{}");
  const auto NoLeader = answer(503, failureBody("no_leader"));
  const std::vector<row> Rows = {
      {"first server", true, {Ok}, std::nullopt, 1},
      {"second server", true, {NotSent, Ok}, std::nullopt, 2},
      {"lost answer", true, {Lost, Ok}, std::nullopt, 2},
      {"election", true, {NoLeader, NoLeader, NoLeader, Ok}, std::nullopt, 4},
      {"conflict",
       true,
       {answer(409, failureBody("conflict"))},
       exit_code::Refused,
       1},
      {"no server", true, {NotSent}, exit_code::NoServer, 2},
      {"lost, then gone", true, {Lost, NotSent}, exit_code::Unknown, 10},
      {"lost read", false, {Lost}, exit_code::NoServer, 10},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    fake_servers Servers;
    Servers.Script = Row.Script;
    auto Client = Servers.client();
    const auto Result = Row.IsWrite ? Client.put("team", "a b", 3, {{"x", 1}})
                                    : Client.get("/api/v1/team");
    CHECK(Result.has_value() == !Row.Failure);
    if (Row.Failure) {
      CHECK(Result.error().Code == *Row.Failure);
    }
    REQUIRE(Servers.Calls.size() == Row.Calls);
    for (const auto &[Server, Call] : Servers.Calls) {
      CHECK(Call.RequestId == Servers.Calls[0].second.RequestId);
      CHECK(Call.RequestId.empty() == !Row.IsWrite);
    }
    if (Row.IsWrite) {
      CHECK(Servers.Calls[0].second.Target == "/api/v1/team/a%20b");
      CHECK(Servers.Calls[0].second.Body == R"({"spec":{"x":1},"version":3})");
    }
  }
}

// Guards against a drain that overwrites a concurrent change or reports
// success without one.
TEST_CASE("drain and restore change the state only") {
  fake_servers Servers;
  const auto Object = [](const std::string &Version, const std::string &State) {
    return answer(200, R"({"version":)" + Version +
                           R"(,"spec":{"region":"r","state":")" + State +
                           R"("}})");
  };
  Servers.Script = {Object("4", "in"), answer(409, failureBody("conflict")),
                    Object("5", "in"), answer(200, "{}")};
  const auto Drained =
      runWith(Servers, make(command_kind::Drain, "failure_domain", "a"));
  CHECK(Drained.Code == exit_code::Ok);
  REQUIRE(Servers.Calls.size() == 4);
  CHECK(Servers.Calls[3].second.Body ==
        R"({"spec":{"region":"r","state":"out"},"version":5})");
  CHECK(Servers.Calls[1].second.RequestId != Servers.Calls[3].second.RequestId);

  fake_servers Already;
  Already.Script = {Object("4", "leaving")};
  CHECK(runWith(Already, make(command_kind::Drain, "upstream", "u")).Code ==
        exit_code::Ok);
  CHECK(Already.Calls.size() == 1);

  fake_servers Missing;
  Missing.Script = {answer(404, failureBody("not_found"))};
  CHECK(runWith(Missing, make(command_kind::Restore, "upstream", "u")).Code ==
        exit_code::Refused);
}

// Guards against a watch that skips or repeats changes between two polls, and
// a delete that ignores the present version.
TEST_CASE("watch continues after the last revision, delete names a version") {
  fake_servers Servers;
  Servers.Script = {answer(200, R"({"revision":7})"),
                    answer(200, "{\"revision\":8}\n{\"revision\":11}\n"),
                    answer(200, ""), answer(410, failureBody("compacted"))};
  const auto Watched = runWith(Servers, make(command_kind::Watch));
  CHECK(Watched.Code == exit_code::Refused);
  CHECK(Watched.Out == "{\"revision\":8}\n{\"revision\":11}\n");
  CHECK(Watched.Error.find("compacted") != std::string::npos);
  CHECK(Servers.Calls[1].second.Target == "/api/v1/watch?since=7");
  CHECK(Servers.Calls[3].second.Target == "/api/v1/watch?since=11");

  fake_servers Deleting;
  Deleting.Script = {answer(200, R"({"version":3})"), answer(200, "{}")};
  CHECK(runWith(Deleting, make(command_kind::Delete, "team", "a")).Code ==
        exit_code::Ok);
  CHECK(Deleting.Calls[1].second.Target == "/api/v1/team/a?version=3");
}

// Guards against an apply that writes what has not changed, creates an object
// before those it refers to, or goes on after a refusal.
TEST_CASE("apply orders, skips unchanged objects and stops at a refusal") {
  const std::string Text =
      R"([{"kind":"team","name":"t","spec":{"services":["s"]}},
          {"kind":"failure_domain","name":"a","spec":{"region":"r"}}])";
  const auto Parsed = parseResources(Text);
  REQUIRE(Parsed.has_value());
  REQUIRE(Parsed.value().size() == 2);
  CHECK(Parsed.value()[0].Kind == "failure_domain");

  std::string Path = "/tmp/arbutus-apply-XXXXXX";
  const int Descriptor = mkstemp(Path.data());
  REQUIRE(Descriptor >= 0);
  close(Descriptor);
  std::ofstream(Path) << Text;
  auto Command = make(command_kind::Apply);
  Command.File = Path;
  fake_servers Servers;
  Servers.Script = {answer(200, R"({"version":2,"spec":)" +
                                    Parsed.value()[0].Spec.dump() + "}"),
                    answer(404, failureBody("not_found")), answer(200, "{}")};
  const auto Applied = runWith(Servers, Command);
  CHECK(Applied.Code == exit_code::Ok);
  REQUIRE(Servers.Calls.size() == 3);
  CHECK(Servers.Calls[2].second.Method == "PUT");
  CHECK(Servers.Calls[2].second.Target == "/api/v1/team/t");
  CHECK(Applied.Out.find("unchanged") != std::string::npos);
  CHECK(Applied.Out.find("created") != std::string::npos);

  fake_servers Refusing;
  Refusing.Script = {answer(404, failureBody("not_found")),
                     answer(422, failureBody("invalid"))};
  const auto Refused = runWith(Refusing, Command);
  CHECK(Refused.Code == exit_code::Refused);
  CHECK(Refusing.Calls.size() == 2);
  CHECK(Refused.Error.find("2 of 2 objects are not applied") !=
        std::string::npos);
  unlink(Path.c_str());
  CHECK(runWith(Refusing, Command).Code == exit_code::Invalid);
}

// Guards against faults of a file that are reported one at a time.
TEST_CASE("all faults of a resource file are reported") {
  const auto Parsed = parseResources(
      R"([{"kind":"team"}, {"kind":"pool","name":"p","spec":{}},
          {"kind":"team","name":"t","spec":{"wieght":1}}, 5])");
  REQUIRE(Parsed.has_error());
  CHECK(Parsed.error().size() >= 4);
  CHECK(parseResources("{").has_error());
}
