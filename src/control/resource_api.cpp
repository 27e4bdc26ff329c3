#include "control/resource_api.h"

#include "base/json_reader.h"
#include "net/http_message.h"
#include "store/config_json.h"
#include "store/resource_json.h"
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace arbutus::control {

namespace {

constexpr std::string_view ApiPrefix = "/api/v1/";
constexpr std::size_t MaxWatchChanges = 1000;

struct api_target {
  std::string_view Kind;
  std::string_view Name;
};

api_target splitTarget(std::string_view Path) {
  Path.remove_prefix(std::min(Path.size(), ApiPrefix.size()));
  const auto Slash = Path.find('/');
  if (Slash == std::string_view::npos) {
    return {Path, {}};
  }
  return {Path.substr(0, Slash), Path.substr(Slash + 1)};
}

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string serializeJson(const nlohmann::json &Json) {
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

int httpStatus(store::outcome_code Code) {
  switch (Code) {
  case store::outcome_code::Ok:
    return 200;
  case store::outcome_code::NotFound:
    return 404;
  case store::outcome_code::Invalid:
    return 422;
  default:
    return 409;
  }
}

nlohmann::json statusBody(const store::state_machine &Store,
                          const std::vector<membership::live_node> &Nodes) {
  nlohmann::json Body;
  Body["revision"] = number(Store.currentRevision());
  Body["claims"] = Store.claims();
  std::size_t WithCurrentRevision = 0;
  std::size_t NotSuspected = 0;
  for (const auto &Node : Nodes) {
    const bool IsCurrent = Node.AppliedRevision == Store.currentRevision();
    WithCurrentRevision += IsCurrent ? 1 : 0;
    NotSuspected += Node.Suspected ? 0 : 1;
    Body["nodes"].push_back({{"id", number(Node.Info.Node)},
                             {"name", Node.Info.Name},
                             {"failure_domain", Node.Info.FailureDomain},
                             {"http", Node.Info.HttpAddress},
                             {"router", Node.Info.IsRouter},
                             {"control", Node.Info.IsControl},
                             {"suspected", Node.Suspected},
                             {"leaving", Node.Leaving},
                             {"revision", number(Node.AppliedRevision)}});
  }
  Body["nodes_with_revision_in_force"] = WithCurrentRevision;
  Body["nodes_not_suspected"] = NotSuspected;
  for (const auto &Pool : Store.list(store::resource_kind::Pool)) {
    Body["pools"].push_back(store::toJson(*Pool));
  }
  return Body;
}

api_plan planWatch(const api_request_message &Request,
                   const store::state_machine &Store) {
  const revision SinceRevision{
      parseNumber(net::queryValue(Request.Target, "since"))};
  const auto Changes = Store.changesSince(SinceRevision);
  if (Changes.has_error()) {
    nlohmann::json Body;
    Body["error"] = {{"type", "compacted"},
                     {"message", "the changes after this revision are no "
                                 "longer kept; read the full list"}};
    Body["oldest_revision"] = number(Changes.error().Oldest);
    return {std::nullopt, {410, serializeJson(Body)}};
  }
  std::string Lines;
  std::size_t Count = 0;
  for (const auto &Change : Changes.value()) {
    if (++Count > MaxWatchChanges) {
      break;
    }
    nlohmann::json Line;
    Line["revision"] = number(Change.Revision);
    Line["kind"] = nameOf(Change.Key.Kind);
    Line["name"] = Change.Key.Name;
    Line["deleted"] = Change.Object == nullptr;
    if (Change.Object) {
      Line["object"] = store::toJson(*Change.Object);
    }
    Lines += serializeJson(Line) + "\n";
  }
  return {std::nullopt, {200, Lines}};
}

api_plan planGet(const api_target &Target, store::resource_kind Kind,
                 const store::state_machine &Store) {
  if (!Target.Name.empty()) {
    const auto Object = Store.find(Kind, Target.Name);
    if (!Object) {
      return {std::nullopt,
              apiError(404, "not_found", "there is no such object")};
    }
    return {std::nullopt, {200, serializeJson(store::toJson(*Object))}};
  }
  nlohmann::json List = nlohmann::json::array();
  for (const auto &Object : Store.list(Kind)) {
    List.push_back(store::toJson(*Object));
  }
  return {std::nullopt,
          {200, serializeJson({{"revision", number(Store.currentRevision())},
                               {"items", List}})}};
}

api_plan planPut(const api_request_message &Request, const api_target &Target,
                 store::resource_kind Kind, const store::state_machine &Store) {
  auto Json = parseJson(Request.Body);
  if (!Json.is_object()) {
    return {std::nullopt,
            apiError(400, "malformed", "the body is not a JSON object")};
  }
  Json["kind"] = nameOf(Kind);
  Json["name"] = Target.Name;
  auto Parsed = store::parsePut(Json, Request.RequestId);
  if (!Parsed.Errors.empty()) {
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Invalid;
    Outcome.Errors = store::allErrors(Parsed, Store);
    return {std::nullopt, toApiResponse(Outcome)};
  }
  return {store::makeCommand(std::move(Parsed.Put)), {}};
}

api_plan planDelete(const api_request_message &Request,
                    const api_target &Target, store::resource_kind Kind) {
  store::delete_command Delete;
  Delete.RequestId = Request.RequestId;
  Delete.Key = {Kind, std::string(Target.Name)};
  Delete.ExpectedVersion =
      parseNumber(net::queryValue(Request.Target, "version"));
  return {store::makeCommand(std::move(Delete)), {}};
}

api_plan planConfig(const api_request_message &Request,
                    const store::state_machine &Store) {
  if (Request.Method == "GET") {
    const auto Object =
        Store.find(store::resource_kind::Configuration, store::FleetConfigName);
    if (!Object) {
      return {std::nullopt,
              apiError(404, "not_found", "there is no configuration yet")};
    }
    return {std::nullopt,
            {200, store::configText(*Object->as<store::fleet_config>())}};
  }
  if (Request.Method != "PUT") {
    return {std::nullopt,
            apiError(405, "method_not_allowed", "use GET or PUT")};
  }
  auto Parsed = store::parseConfigText(Request.Body);
  if (!Parsed.Errors.empty()) {
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Invalid;
    Outcome.Errors = std::move(Parsed.Errors);
    return {std::nullopt, toApiResponse(Outcome)};
  }
  return {store::makeCommand(
              store::replace_config_command{std::move(Parsed.Config)}),
          {}};
}

api_plan planDomainState(const api_request_message &Request,
                         const api_target &Target) {
  const auto Json = parseJson(Request.Body);
  const bool Valid = Request.Method == "PUT" && !Target.Name.empty() &&
                     Json.is_object() && Json.contains("state") &&
                     Json["state"].is_string();
  const auto State = Valid ? valueOf<store::domain_state>(
                                 Json["state"].get_ref<const std::string &>())
                           : std::nullopt;
  if (!State) {
    return {std::nullopt,
            apiError(400, "malformed",
                     R"(use PUT with a name and {"state":"in"} or "out")")};
  }
  return {store::makeCommand(
              store::set_domain_command{std::string(Target.Name), *State}),
          {}};
}

api_plan planRolloutStart(const api_request_message &Request,
                          const api_target &Target) {
  const auto Json = parseJson(Request.Body);
  const auto Malformed = [](std::string_view Message) {
    return api_plan{std::nullopt, apiError(400, "malformed", Message)};
  };
  if (!Json.is_object()) {
    return Malformed("the body is not a JSON object");
  }
  if (!Json.contains("target") || !Json["target"].is_string()) {
    return Malformed("target: a version as a string is needed");
  }
  if (!Json.contains("duration_ms") ||
      !Json["duration_ms"].is_number_integer()) {
    return Malformed("duration_ms: a whole number is needed");
  }
  store::start_rollout_command Start;
  Start.Service = Target.Name;
  Start.Target = Json["target"].get<std::string>();
  Start.DurationMs = Json["duration_ms"].get<std::int64_t>();
  return {store::makeCommand(std::move(Start)), {}};
}

api_plan planRolloutAbort(const api_target &Target,
                          const store::state_machine &Store) {
  const auto Object =
      Store.find(store::resource_kind::Rollout, std::string(Target.Name));
  if (!Object) {
    return {std::nullopt,
            apiError(404, "not_found", "the service has no rollout")};
  }
  return {store::makeCommand(store::advance_rollout_command{
              Object->Name, Object->as<store::rollout>()->StartedMs,
              store::rollout_phase::RolledBack, "aborted by an operator"}),
          {}};
}

api_plan planRolloutOrder(const api_request_message &Request,
                          const api_target &Target,
                          const store::state_machine &Store) {
  if (Target.Name.empty()) {
    return {std::nullopt,
            apiError(404, "not_found", "the name of a service is needed")};
  }
  if (Request.Method == "PUT") {
    return planRolloutStart(Request, Target);
  }
  if (Request.Method == "DELETE") {
    return planRolloutAbort(Target, Store);
  }
  return {std::nullopt,
          apiError(405, "method_not_allowed", "use PUT or DELETE")};
}

} // namespace

api_response apiError(int Status, std::string_view Type,
                      std::string_view Message) {
  return {Status,
          serializeJson({{"error", {{"type", Type}, {"message", Message}}}})};
}

api_response toApiResponse(const store::command_outcome &Outcome) {
  nlohmann::json Body = store::toJson(Outcome);
  if (Outcome.Code != store::outcome_code::Ok) {
    nlohmann::json Error;
    Error["type"] = nameOf(Outcome.Code);
    Error["message"] = store::describe(Outcome);
    Error["details"] = nlohmann::json::array();
    for (const auto &FieldError : Outcome.Errors) {
      Error["details"].push_back(store::toJson(FieldError));
    }
    Body["error"] = std::move(Error);
  }
  return {httpStatus(Outcome.Code), serializeJson(Body)};
}

api_plan planAdminRequest(const api_request_message &Request,
                          const store::state_machine &Store,
                          const std::vector<membership::live_node> &Nodes) {
  const std::string_view Path = net::pathOf(Request.Target);
  const api_target Target = splitTarget(Path);
  if (Request.Method == "GET" && Target.Kind == "status") {
    return {std::nullopt, {200, serializeJson(statusBody(Store, Nodes))}};
  }
  if (Request.Method == "GET" && Target.Kind == "watch") {
    return planWatch(Request, Store);
  }
  if (Target.Kind == "configuration" && Target.Name.empty()) {
    return planConfig(Request, Store);
  }
  if (Target.Kind == "domain_state") {
    return planDomainState(Request, Target);
  }
  if (Target.Kind == "rollout_order") {
    return planRolloutOrder(Request, Target, Store);
  }
  const auto Kind = valueOf<store::resource_kind>(Target.Kind);
  if (!Kind) {
    return {std::nullopt,
            apiError(404, "unknown_kind", "there is no such resource kind")};
  }
  if (Request.Method == "GET") {
    return planGet(Target, *Kind, Store);
  }
  if (Target.Name.empty()) {
    return {std::nullopt, apiError(404, "not_found",
                                   "an object name is "
                                   "needed")};
  }
  if (Request.Method == "PUT") {
    return planPut(Request, Target, *Kind, Store);
  }
  if (Request.Method == "DELETE") {
    return planDelete(Request, Target, *Kind);
  }
  return {std::nullopt,
          apiError(405, "method_not_allowed", "use GET, PUT or DELETE")};
}

} // namespace arbutus::control
