#include "control/resource_api.h"

#include "net/http_message.h"
#include "store/resource_json.h"
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace arbutus::control {

namespace {

constexpr std::string_view ApiPrefix = "/api/v1/";
constexpr std::size_t MostWatchChanges = 1000;

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

std::uint64_t numberOf(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string dump(const nlohmann::json &Json) {
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Name of an outcome as HTTP status.
int statusOf(store::outcome_code Code) {
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
  std::size_t InForce = 0;
  std::size_t Serving = 0;
  for (const auto &Node : Nodes) {
    const bool Current = Node.AppliedRevision == Store.currentRevision();
    InForce += Current ? 1 : 0;
    Serving += Node.Suspected ? 0 : 1;
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
  Body["nodes_with_revision_in_force"] = InForce;
  Body["nodes_not_suspected"] = Serving;
  for (const auto &Pool : Store.list(store::resource_kind::Pool)) {
    Body["pools"].push_back(store::toJson(*Pool));
  }
  return Body;
}

api_plan planWatch(const api_request_message &Call,
                   const store::state_machine &Store) {
  const revision Since{numberOf(net::queryValue(Call.Target, "since"))};
  const auto Changes = Store.changesSince(Since);
  if (Changes.has_error()) {
    nlohmann::json Body;
    Body["error"] = {{"type", "compacted"},
                     {"message", "the changes after this revision are no "
                                 "longer kept; read the full list"}};
    Body["oldest_revision"] = number(Changes.error().Oldest);
    return {std::nullopt, {410, dump(Body)}};
  }
  std::string Lines;
  std::size_t Count = 0;
  for (const auto &Change : Changes.value()) {
    if (++Count > MostWatchChanges) {
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
    Lines += dump(Line) + "\n";
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
    return {std::nullopt, {200, dump(store::toJson(*Object))}};
  }
  nlohmann::json List = nlohmann::json::array();
  for (const auto &Object : Store.list(Kind)) {
    List.push_back(store::toJson(*Object));
  }
  return {std::nullopt,
          {200, dump({{"revision", number(Store.currentRevision())},
                      {"items", List}})}};
}

api_plan planPut(const api_request_message &Call, const api_target &Target,
                 store::resource_kind Kind, const store::state_machine &Store) {
  auto Json = nlohmann::json::parse(Call.Body, nullptr, false);
  if (!Json.is_object()) {
    return {std::nullopt,
            apiError(400, "malformed", "the body is not a JSON object")};
  }
  Json["kind"] = nameOf(Kind);
  Json["name"] = Target.Name;
  auto Parsed = store::parsePut(Json, Call.RequestId);
  if (!Parsed.Errors.empty()) {
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Invalid;
    Outcome.Errors = store::allErrors(Parsed, Store);
    return {std::nullopt, answerOf(Outcome)};
  }
  return {store::makeCommand(std::move(Parsed.Put)), {}};
}

api_plan planDelete(const api_request_message &Call, const api_target &Target,
                    store::resource_kind Kind) {
  store::delete_command Delete;
  Delete.RequestId = Call.RequestId;
  Delete.Key = {Kind, std::string(Target.Name)};
  Delete.ExpectedVersion = numberOf(net::queryValue(Call.Target, "version"));
  return {store::makeCommand(std::move(Delete)), {}};
}

api_plan planConfig(const api_request_message &Call,
                    const store::state_machine &Store) {
  if (Call.Method == "GET") {
    const auto Object =
        Store.find(store::resource_kind::Configuration, store::FleetConfigName);
    if (!Object) {
      return {std::nullopt,
              apiError(404, "not_found", "there is no configuration yet")};
    }
    return {std::nullopt,
            {200, dump(store::toJson(*Object->as<store::fleet_config>()))}};
  }
  if (Call.Method != "PUT") {
    return {std::nullopt,
            apiError(405, "method_not_allowed", "use GET or PUT")};
  }
  auto Parsed = store::parseConfigText(Call.Body);
  if (!Parsed.Errors.empty()) {
    store::command_outcome Outcome;
    Outcome.Code = store::outcome_code::Invalid;
    Outcome.Errors = std::move(Parsed.Errors);
    return {std::nullopt, answerOf(Outcome)};
  }
  return {store::makeCommand(
              store::replace_config_command{std::move(Parsed.Config)}),
          {}};
}

api_plan planDomainState(const api_request_message &Call,
                         const api_target &Target) {
  const auto Json = nlohmann::json::parse(Call.Body, nullptr, false);
  const bool Valid = Call.Method == "PUT" && !Target.Name.empty() &&
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

} // namespace

api_answer apiError(int Status, std::string_view Type,
                    std::string_view Message) {
  return {Status, dump({{"error", {{"type", Type}, {"message", Message}}}})};
}

api_answer answerOf(const store::command_outcome &Outcome) {
  nlohmann::json Body = store::toJson(Outcome);
  if (Outcome.Code != store::outcome_code::Ok) {
    nlohmann::json Error;
    Error["type"] = nameOf(Outcome.Code);
    Error["message"] = store::describe(Outcome);
    Error["details"] = nlohmann::json::array();
    for (const auto &Fault : Outcome.Errors) {
      Error["details"].push_back(store::toJson(Fault));
    }
    Body["error"] = std::move(Error);
  }
  return {statusOf(Outcome.Code), dump(Body)};
}

api_plan planApiCall(const api_request_message &Call,
                     const store::state_machine &Store,
                     const std::vector<membership::live_node> &Nodes) {
  const std::string_view Path = net::pathOf(Call.Target);
  const api_target Target = splitTarget(Path);
  if (Call.Method == "GET" && Target.Kind == "status") {
    return {std::nullopt, {200, dump(statusBody(Store, Nodes))}};
  }
  if (Call.Method == "GET" && Target.Kind == "watch") {
    return planWatch(Call, Store);
  }
  if (Target.Kind == "configuration" && Target.Name.empty()) {
    return planConfig(Call, Store);
  }
  if (Target.Kind == "domain_state") {
    return planDomainState(Call, Target);
  }
  const auto Kind = valueOf<store::resource_kind>(Target.Kind);
  if (!Kind) {
    return {std::nullopt,
            apiError(404, "unknown_kind", "there is no such resource kind")};
  }
  if (Call.Method == "GET") {
    return planGet(Target, *Kind, Store);
  }
  if (Target.Name.empty()) {
    return {std::nullopt, apiError(404, "not_found",
                                   "an object name is "
                                   "needed")};
  }
  if (Call.Method == "PUT") {
    return planPut(Call, Target, *Kind, Store);
  }
  if (Call.Method == "DELETE") {
    return planDelete(Call, Target, *Kind);
  }
  return {std::nullopt,
          apiError(405, "method_not_allowed", "use GET, PUT or DELETE")};
}

} // namespace arbutus::control
