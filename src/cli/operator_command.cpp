#include "cli/operator_command.h"

#include "base/json_reader.h"
#include "cli/resource_file.h"
#include "cli/rollout_command.h"
#include "cli/table_text.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace arbutus::cli {

namespace {

using nlohmann::json;

constexpr int HttpNotFound = 404;
/// Retries of a command that reads, changes and writes an object, after version
/// conflicts with concurrent writes.
constexpr int MaxConflictRetries = 5;

exit_code reportFailure(const api_failure &Failure,
                        const command_output &Output) {
  Output.Error << "arbutustack: "
               << (Failure.Type.empty() ? "refused" : Failure.Type) << ": "
               << Failure.Message << "\n";
  return Failure.Code;
}

std::uint64_t integerField(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) &&
                 Object[Key].is_number_unsigned()
             ? Object[Key].get<std::uint64_t>()
             : 0;
}

json field(const json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) ? Object[Key] : json();
}

exit_code printResult(const json &Body, const std::string &Table,
                      const command &Command, const command_output &Output) {
  if (Command.Output == output_format::Json) {
    Output.Out << Body.dump(2) << "\n";
  } else {
    Output.Out << Table;
  }
  return exit_code::Ok;
}

exit_code runGet(const command &Command, api_client &Client,
                 const command_output &Output) {
  const auto Body =
      Client.get(resourceTarget(Command.ResourceKind, Command.Name));
  if (Body.has_error()) {
    return reportFailure(Body.error(), Output);
  }
  const auto Items = Command.Name.empty() ? field(Body.value(), "items")
                                          : json::array({Body.value()});
  return printResult(Body.value(), formatObjectTable(Items), Command, Output);
}

/// Version and spec of an object. The version is 0 and the spec is null if the
/// object does not exist.
struct current_object {
  std::uint64_t Version = 0;
  json Spec;
};

api_result<current_object> readCurrent(api_client &Client,
                                       const std::string &Kind,
                                       const std::string &Name) {
  const auto Body = Client.get(resourceTarget(Kind, Name));
  if (Body.has_error()) {
    if (Body.error().Status == HttpNotFound &&
        Body.error().Type == "not_found") {
      return current_object{};
    }
    return Body.error();
  }
  return current_object{integerField(Body.value(), "version"),
                        field(Body.value(), "spec")};
}

exit_code runApply(const command &Command, api_client &Client,
                   const command_output &Output) {
  std::ifstream Stream(Command.File, std::ios::binary);
  const std::string Text((std::istreambuf_iterator<char>(Stream)),
                         std::istreambuf_iterator<char>());
  if (!Stream.is_open() || Stream.bad()) {
    Output.Error << Command.File << ": cannot be read\n";
    return exit_code::Invalid;
  }
  const auto Resources = parseResources(Text);
  if (Resources.has_error()) {
    for (const auto &Error : Resources.error()) {
      Output.Error << Command.File << ": " << Error << "\n";
    }
    return exit_code::Invalid;
  }
  json Results = json::array();
  std::vector<std::vector<std::string>> Table = {{"KIND", "NAME", "RESULT"}};
  exit_code Code = exit_code::Ok;
  for (const auto &Desired : Resources.value()) {
    const auto Current = readCurrent(Client, Desired.Kind, Desired.Name);
    if (Current.has_error()) {
      Code = reportFailure(Current.error(), Output);
      break;
    }
    std::string Result = "unchanged";
    if (Current.value().Spec != Desired.Spec) {
      const auto Put = Client.put(Desired.Kind, Desired.Name,
                                  Current.value().Version, Desired.Spec);
      if (Put.has_error()) {
        Output.Error << Desired.Kind << " " << Desired.Name << ": ";
        Code = reportFailure(Put.error(), Output);
        break;
      }
      Result = Current.value().Version == 0 ? "created" : "changed";
    }
    Table.push_back({Desired.Kind, Desired.Name, Result});
    Results.push_back(
        {{"kind", Desired.Kind}, {"name", Desired.Name}, {"result", Result}});
  }
  // Objects after a failed one are not applied, because they may refer to it.
  const auto NotAppliedCount = Resources.value().size() - Results.size();
  if (NotAppliedCount > 0) {
    Output.Error << NotAppliedCount << " of " << Resources.value().size()
                 << " objects are not applied\n";
  }
  (void)printResult(Results, formatTable(Table), Command, Output);
  return Code;
}

exit_code runDelete(const command &Command, api_client &Client,
                    const command_output &Output) {
  std::uint64_t Version = Command.Version;
  if (Version == 0) {
    const auto Body =
        Client.get(resourceTarget(Command.ResourceKind, Command.Name));
    if (Body.has_error()) {
      return reportFailure(Body.error(), Output);
    }
    Version = integerField(Body.value(), "version");
  }
  const auto Body = Client.erase(Command.ResourceKind, Command.Name, Version);
  if (Body.has_error()) {
    return reportFailure(Body.error(), Output);
  }
  return printResult(Body.value(),
                     Command.ResourceKind + " " + Command.Name + " deleted\n",
                     Command, Output);
}

exit_code runWatch(const command &Command, api_client &Client,
                   const command_output &Output) {
  std::uint64_t SinceRevision = Command.SinceRevision;
  if (!Command.HasSinceRevision) {
    const auto Status = Client.get("/api/v1/status");
    if (Status.has_error()) {
      return reportFailure(Status.error(), Output);
    }
    SinceRevision = integerField(Status.value(), "revision");
  }
  while (true) {
    const auto Lines = Client.send(
        {"GET", "/api/v1/watch?since=" + std::to_string(SinceRevision), "",
         ""});
    if (Lines.has_error()) {
      return reportFailure(Lines.error(), Output);
    }
    std::istringstream Stream(Lines.value());
    for (std::string Line; std::getline(Stream, Line);) {
      const auto Change = parseJson(Line);
      SinceRevision = std::max(SinceRevision, integerField(Change, "revision"));
      Output.Out << Line << "\n";
    }
    Output.Out.flush();
  }
}

exit_code runStateChange(const command &Command, api_client &Client,
                         const command_output &Output) {
  const bool IsDomain = Command.ResourceKind == "failure_domain";
  const std::string State = Command.Kind == command_kind::Restore ? "in"
                            : IsDomain                            ? "out"
                                                                  : "leaving";
  const auto Target = resourceTarget(Command.ResourceKind, Command.Name);
  for (int Conflicts = 0;; ++Conflicts) {
    const auto Body = Client.get(Target);
    if (Body.has_error()) {
      return reportFailure(Body.error(), Output);
    }
    auto Spec = field(Body.value(), "spec");
    if (!Spec.is_object()) {
      Spec = json::object();
    }
    const std::string Line =
        Command.ResourceKind + " " + Command.Name + " is " + State + "\n";
    if (field(Spec, "state") == State) {
      return printResult(Body.value(), Line, Command, Output);
    }
    Spec["state"] = State;
    const auto Put = Client.put(Command.ResourceKind, Command.Name,
                                integerField(Body.value(), "version"), Spec);
    if (Put.has_value()) {
      return printResult(Put.value(), Line, Command, Output);
    }
    if (Put.error().Type != "conflict" || Conflicts >= MaxConflictRetries) {
      return reportFailure(Put.error(), Output);
    }
  }
}

exit_code runStatus(const command &Command, api_client &Client,
                    const command_output &Output) {
  const auto Body = Client.get("/api/v1/status");
  if (Body.has_error()) {
    return reportFailure(Body.error(), Output);
  }
  return printResult(Body.value(), formatStatusTable(Body.value()), Command,
                     Output);
}

} // namespace

exit_code runOperatorCommand(const command &Command, api_client &Client,
                             const command_output &Output) {
  switch (Command.Kind) {
  case command_kind::Get:
    return runGet(Command, Client, Output);
  case command_kind::Apply:
    return runApply(Command, Client, Output);
  case command_kind::Delete:
    return runDelete(Command, Client, Output);
  case command_kind::Watch:
    return runWatch(Command, Client, Output);
  case command_kind::Drain:
  case command_kind::Restore:
    return runStateChange(Command, Client, Output);
  case command_kind::Status:
    return runStatus(Command, Client, Output);
  case command_kind::Rollout:
    return runRolloutCommand(Command, Client, Output);
  default:
    return exit_code::Usage;
  }
}

} // namespace arbutus::cli
