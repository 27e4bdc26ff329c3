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

/// Returns the given responses in order, then repeats the last one. Records
/// the requests.
struct fake_servers {
  std::vector<api_response> Responses;
  std::vector<std::pair<std::string, api_request>> Requests;
  int WaitCount = 0;

  api_client client() {
    return {{"a:1", "b:1"},
            [this](const std::string &Server, const api_request &Request) {
              Requests.emplace_back(Server, Request);
              const auto Index =
                  std::min(Requests.size(), Responses.size()) - std::size_t{1};
              return Responses.at(Index);
            },
            [this] { ++WaitCount; }};
  }
};

api_response response(int Status, std::string Body) {
  return {delivery_status::Completed, Status, std::move(Body), ""};
}
const api_response NotSent{delivery_status::NotSent, 0, "", "refused"};
const api_response ResponseLost{delivery_status::ResponseLost, 0, "", "reset"};

std::string errorBody(const std::string &Type) {
  return R"({"error":{"type":")" + Type + R"(","message":"m"}})";
}

struct command_result {
  exit_code Code;
  std::string Out;
  std::string Error;
};

command_result runCommand(fake_servers &Servers, command Command) {
  std::ostringstream Out;
  std::ostringstream Error;
  Command.Output = output_format::Table;
  auto Client = Servers.client();
  const auto Code = runOperatorCommand(Command, Client, {Out, Error});
  return {Code, Out.str(), Error.str()};
}

command makeCommand(command_kind Kind, const std::string &ResourceKind = "",
                    const std::string &Name = "") {
  command Command;
  Command.Kind = Kind;
  Command.ResourceKind = ResourceKind;
  Command.Name = Name;
  return Command;
}

} // namespace

// Guards against a write that is executed twice because a retry has another
// request id, a write that is reported as failed although it may have been
// executed, and a client that gives up during an election.
TEST_CASE("requests try the servers in order and retry lost writes") {
  struct row {
    std::string Name;
    bool IsWrite;
    std::vector<api_response> Responses;
    std::optional<exit_code> Failure;
    std::size_t RequestCount;
  };
  const auto Ok = response(200, "{}");
  const auto NoLeader = response(503, errorBody("no_leader"));
  const std::vector<row> Rows = {
      {"first server", true, {Ok}, std::nullopt, 1},
      {"second server", true, {NotSent, Ok}, std::nullopt, 2},
      {"lost response", true, {ResponseLost, Ok}, std::nullopt, 2},
      {"election", true, {NoLeader, NoLeader, NoLeader, Ok}, std::nullopt, 4},
      {"conflict",
       true,
       {response(409, errorBody("conflict"))},
       exit_code::Rejected,
       1},
      {"no server", true, {NotSent}, exit_code::NoServer, 2},
      {"lost, then unreachable",
       true,
       {ResponseLost, NotSent},
       exit_code::UnknownOutcome,
       10},
      {"lost read", false, {ResponseLost}, exit_code::NoServer, 10},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    fake_servers Servers;
    Servers.Responses = Row.Responses;
    auto Client = Servers.client();
    const auto Result = Row.IsWrite ? Client.put("team", "a b", 3, {{"x", 1}})
                                    : Client.get("/api/v1/team");
    CHECK(Result.has_value() == !Row.Failure);
    if (Row.Failure) {
      CHECK(Result.error().Code == *Row.Failure);
    }
    REQUIRE(Servers.Requests.size() == Row.RequestCount);
    for (const auto &[Server, Request] : Servers.Requests) {
      CHECK(Request.RequestId == Servers.Requests[0].second.RequestId);
      CHECK(Request.RequestId.empty() == !Row.IsWrite);
    }
    if (Row.IsWrite) {
      CHECK(Servers.Requests[0].second.Target == "/api/v1/team/a%20b");
      CHECK(Servers.Requests[0].second.Body ==
            R"({"spec":{"x":1},"version":3})");
    }
  }
}

// Guards against a drain that overwrites a concurrent change of the object, or
// that reports success although the state has not changed.
TEST_CASE("drain and restore change only the state") {
  fake_servers Servers;
  const auto Object = [](const std::string &Version, const std::string &State) {
    return response(200, R"({"version":)" + Version +
                             R"(,"spec":{"region":"r","state":")" + State +
                             R"("}})");
  };
  Servers.Responses = {Object("4", "in"), response(409, errorBody("conflict")),
                       Object("5", "in"), response(200, "{}")};
  const auto Drained = runCommand(
      Servers, makeCommand(command_kind::Drain, "failure_domain", "a"));
  CHECK(Drained.Code == exit_code::Ok);
  REQUIRE(Servers.Requests.size() == 4);
  CHECK(Servers.Requests[3].second.Body ==
        R"({"spec":{"region":"r","state":"out"},"version":5})");
  CHECK(Servers.Requests[1].second.RequestId !=
        Servers.Requests[3].second.RequestId);

  fake_servers AlreadyDraining;
  AlreadyDraining.Responses = {Object("4", "leaving")};
  CHECK(runCommand(AlreadyDraining,
                   makeCommand(command_kind::Drain, "upstream", "u"))
            .Code == exit_code::Ok);
  CHECK(AlreadyDraining.Requests.size() == 1);

  fake_servers MissingObject;
  MissingObject.Responses = {response(404, errorBody("not_found"))};
  CHECK(runCommand(MissingObject,
                   makeCommand(command_kind::Restore, "upstream", "u"))
            .Code == exit_code::Rejected);
}

// Guards against a watch that skips or repeats changes between two polls, and
// a delete that does not send the current version.
TEST_CASE("watch continues after the last revision, delete sends a version") {
  fake_servers Servers;
  Servers.Responses = {response(200, R"({"revision":7})"),
                       response(200, "{\"revision\":8}\n{\"revision\":11}\n"),
                       response(200, ""),
                       response(410, errorBody("compacted"))};
  const auto Watched = runCommand(Servers, makeCommand(command_kind::Watch));
  CHECK(Watched.Code == exit_code::Rejected);
  CHECK(Watched.Out == "{\"revision\":8}\n{\"revision\":11}\n");
  CHECK(Watched.Error.find("compacted") != std::string::npos);
  CHECK(Servers.Requests[1].second.Target == "/api/v1/watch?since=7");
  CHECK(Servers.Requests[3].second.Target == "/api/v1/watch?since=11");

  fake_servers DeleteServers;
  DeleteServers.Responses = {response(200, R"({"version":3})"),
                             response(200, "{}")};
  CHECK(
      runCommand(DeleteServers, makeCommand(command_kind::Delete, "team", "a"))
          .Code == exit_code::Ok);
  CHECK(DeleteServers.Requests[1].second.Target == "/api/v1/team/a?version=3");
}

// Guards against an apply that writes unchanged objects, creates an object
// before those it refers to, or continues after a rejected write.
TEST_CASE("apply sorts objects, skips unchanged ones, stops at a rejection") {
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
  auto Command = makeCommand(command_kind::Apply);
  Command.File = Path;
  fake_servers Servers;
  Servers.Responses = {response(200, R"({"version":2,"spec":)" +
                                         Parsed.value()[0].Spec.dump() + "}"),
                       response(404, errorBody("not_found")),
                       response(200, "{}")};
  const auto Applied = runCommand(Servers, Command);
  CHECK(Applied.Code == exit_code::Ok);
  REQUIRE(Servers.Requests.size() == 3);
  CHECK(Servers.Requests[2].second.Method == "PUT");
  CHECK(Servers.Requests[2].second.Target == "/api/v1/team/t");
  CHECK(Applied.Out.find("unchanged") != std::string::npos);
  CHECK(Applied.Out.find("created") != std::string::npos);

  fake_servers RejectingServers;
  RejectingServers.Responses = {response(404, errorBody("not_found")),
                                response(422, errorBody("invalid"))};
  const auto Rejected = runCommand(RejectingServers, Command);
  CHECK(Rejected.Code == exit_code::Rejected);
  CHECK(RejectingServers.Requests.size() == 2);
  CHECK(Rejected.Error.find("2 of 2 objects are not applied") !=
        std::string::npos);
  unlink(Path.c_str());
  CHECK(runCommand(RejectingServers, Command).Code == exit_code::Invalid);
}

// Guards against a parser that stops at the first error of a file.
TEST_CASE("all errors of a resource file are reported") {
  const auto Parsed = parseResources(
      R"([{"kind":"team"}, {"kind":"pool","name":"p","spec":{}},
          {"kind":"team","name":"t","spec":{"wieght":1}}, 5])");
  REQUIRE(Parsed.has_error());
  CHECK(Parsed.error().size() >= 4);
  CHECK(parseResources("{").has_error());
}
