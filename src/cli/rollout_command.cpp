#include "cli/rollout_command.h"

#include "base/json_reader.h"
#include "cli/table_text.h"
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace arbutus::cli {

namespace {

using nlohmann::json;

constexpr std::int64_t MsPerSecond = 1'000;

api_request makeRequest(const command &Command) {
  switch (Command.Rollout) {
  case rollout_action::Start:
    return {"PUT", resourceTarget("rollout_order", Command.Name),
            json({{"target", Command.SoftwareVersion},
                  {"duration_ms",
                   static_cast<std::int64_t>(Command.DurationSeconds) *
                       MsPerSecond}})
                .dump(),
            ""};
  case rollout_action::Abort:
    return {"DELETE", resourceTarget("rollout_order", Command.Name), "", ""};
  case rollout_action::Show:
    break;
  }
  return {"GET", resourceTarget("rollout", Command.Name), "", ""};
}

/// The object itself, or the one that an order answers with.
json rolloutOf(const json &Body) {
  return Body.is_object() && Body.contains("object") ? Body["object"] : Body;
}

std::string textOf(const json &Spec, const char *Field) {
  const auto Found = Spec.find(Field);
  if (Found == Spec.end()) {
    return "-";
  }
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::string formatRollout(const json &Object) {
  const json Spec = Object.is_object() && Object.contains("spec")
                        ? Object["spec"]
                        : json::object();
  std::vector<std::vector<std::string>> Table = {
      {"SERVICE", "TARGET", "PHASE", "REASON"}};
  Table.push_back({textOf(Object, "name"), textOf(Spec, "target"),
                   textOf(Spec, "phase"), textOf(Spec, "reason")});
  return formatTable(Table);
}

} // namespace

exit_code runRolloutCommand(const command &Command, api_client &Client,
                            const command_output &Output) {
  const auto Text = Client.send(makeRequest(Command));
  if (Text.has_error()) {
    const auto &Failure = Text.error();
    Output.Error << "arbutustack: "
                 << (Failure.Type.empty() ? "refused" : Failure.Type) << ": "
                 << Failure.Message << "\n";
    return Failure.Code;
  }
  const auto Object = rolloutOf(parseJson(Text.value()));
  if (Command.Output == output_format::Json) {
    Output.Out << Object.dump(2) << "\n";
  } else {
    Output.Out << formatRollout(Object);
  }
  return exit_code::Ok;
}

} // namespace arbutus::cli
