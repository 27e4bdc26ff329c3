#include "cli/operator_command.h"

#include "cli/resource_file.h"
#include "cli/table_text.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace arbutus::cli {

namespace {

using nlohmann::json;

constexpr int NotFound = 404;
/// Bounds the retries of a command that reads, changes and writes an object
/// while others write it too.
constexpr int MostConflicts = 5;

exit_code fail(const api_failure &Failure, const command_output &Output) {
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

exit_code print(const json &Body, const std::string &Table,
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
  const auto Body = Client.get(targetOf(Command.ResourceKind, Command.Name));
  if (Body.has_error()) {
    return fail(Body.error(), Output);
  }
  const auto Items = Command.Name.empty() ? field(Body.value(), "items")
                                          : json::array({Body.value()});
  return print(Body.value(), objectTable(Items), Command, Output);
}

/// The version and spec of an object; version 0 and no spec if it is missing.
struct present_object {
  std::uint64_t Version = 0;
  json Spec;
};

api_result<present_object> readPresent(api_client &Client,
                                       const std::string &Kind,
                                       const std::string &Name) {
  const auto Body = Client.get(targetOf(Kind, Name));
  if (Body.has_error()) {
    if (Body.error().Status == NotFound && Body.error().Type == "not_found") {
      return present_object{};
    }
    return Body.error();
  }
  return present_object{integerField(Body.value(), "version"),
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
  json Done = json::array();
  std::vector<std::vector<std::string>> Table = {{"KIND", "NAME", "RESULT"}};
  exit_code Code = exit_code::Ok;
  for (const auto &Wanted : Resources.value()) {
    const auto Present = readPresent(Client, Wanted.Kind, Wanted.Name);
    if (Present.has_error()) {
      Code = fail(Present.error(), Output);
      break;
    }
    std::string Result = "unchanged";
    if (Present.value().Spec != Wanted.Spec) {
      const auto Put = Client.put(Wanted.Kind, Wanted.Name,
                                  Present.value().Version, Wanted.Spec);
      if (Put.has_error()) {
        Output.Error << Wanted.Kind << " " << Wanted.Name << ": ";
        Code = fail(Put.error(), Output);
        break;
      }
      Result = Present.value().Version == 0 ? "created" : "changed";
    }
    Table.push_back({Wanted.Kind, Wanted.Name, Result});
    Done.push_back(
        {{"kind", Wanted.Kind}, {"name", Wanted.Name}, {"result", Result}});
  }
  // Later objects may refer to the one that failed, so they are not tried.
  const auto Rest = Resources.value().size() - Done.size();
  if (Rest > 0) {
    Output.Error << Rest << " of " << Resources.value().size()
                 << " objects are not applied\n";
  }
  (void)print(Done, tableText(Table), Command, Output);
  return Code;
}

exit_code runDelete(const command &Command, api_client &Client,
                    const command_output &Output) {
  std::uint64_t Version = Command.Version;
  if (Version == 0) {
    const auto Body = Client.get(targetOf(Command.ResourceKind, Command.Name));
    if (Body.has_error()) {
      return fail(Body.error(), Output);
    }
    Version = integerField(Body.value(), "version");
  }
  const auto Body = Client.erase(Command.ResourceKind, Command.Name, Version);
  if (Body.has_error()) {
    return fail(Body.error(), Output);
  }
  return print(Body.value(),
               Command.ResourceKind + " " + Command.Name + " deleted\n",
               Command, Output);
}

exit_code runWatch(const command &Command, api_client &Client,
                   const command_output &Output) {
  std::uint64_t Since = Command.Since;
  if (!Command.HasSince) {
    const auto Status = Client.get("/api/v1/status");
    if (Status.has_error()) {
      return fail(Status.error(), Output);
    }
    Since = integerField(Status.value(), "revision");
  }
  while (true) {
    const auto Lines = Client.call(
        {"GET", "/api/v1/watch?since=" + std::to_string(Since), "", ""});
    if (Lines.has_error()) {
      return fail(Lines.error(), Output);
    }
    std::istringstream Stream(Lines.value());
    for (std::string Line; std::getline(Stream, Line);) {
      const auto Change = json::parse(Line, nullptr, false);
      Since = std::max(Since, integerField(Change, "revision"));
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
  const auto Target = targetOf(Command.ResourceKind, Command.Name);
  for (int Conflicts = 0;; ++Conflicts) {
    const auto Body = Client.get(Target);
    if (Body.has_error()) {
      return fail(Body.error(), Output);
    }
    auto Spec = field(Body.value(), "spec");
    if (!Spec.is_object()) {
      Spec = json::object();
    }
    const std::string Line =
        Command.ResourceKind + " " + Command.Name + " is " + State + "\n";
    if (field(Spec, "state") == State) {
      return print(Body.value(), Line, Command, Output);
    }
    Spec["state"] = State;
    const auto Put = Client.put(Command.ResourceKind, Command.Name,
                                integerField(Body.value(), "version"), Spec);
    if (Put.has_value()) {
      return print(Put.value(), Line, Command, Output);
    }
    if (Put.error().Type != "conflict" || Conflicts >= MostConflicts) {
      return fail(Put.error(), Output);
    }
  }
}

exit_code runStatus(const command &Command, api_client &Client,
                    const command_output &Output) {
  const auto Body = Client.get("/api/v1/status");
  if (Body.has_error()) {
    return fail(Body.error(), Output);
  }
  return print(Body.value(), statusTable(Body.value()), Command, Output);
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
  default:
    return exit_code::Usage;
  }
}

} // namespace arbutus::cli
