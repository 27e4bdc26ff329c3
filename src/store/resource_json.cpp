#include "store/resource_json.h"

#include "store/json_fields.h"
#include "store/state_machine.h"
#include "store/validation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace arbutus::store {

namespace {

using impl::field_reader;
using impl::read_context;
using impl::specToJson;
using nlohmann::json;

const char *numberField(resource_kind Kind) noexcept {
  switch (Kind) {
  case resource_kind::Team:
    return "team_id";
  case resource_kind::Upstream:
  case resource_kind::Instance:
    return "upstream_id";
  case resource_kind::Service:
  case resource_kind::Pool:
    return "pool_id";
  default:
    return nullptr;
  }
}

template <class T>
void readSpec(const json &From, resource_spec &Spec, read_context &Context) {
  T Value;
  field_reader Reader(From, "spec", Context);
  T::visitFields(Value, Reader);
  Reader.finish();
  Spec.Value = std::move(Value);
}

void readSpecOfKind(resource_kind Kind, const json &From, resource_spec &Spec,
                    read_context &Context) {
  switch (Kind) {
  case resource_kind::Team:
    return readSpec<team>(From, Spec, Context);
  case resource_kind::Upstream:
    return readSpec<upstream>(From, Spec, Context);
  case resource_kind::FailureDomain:
    return readSpec<failure_domain>(From, Spec, Context);
  case resource_kind::Service:
    return readSpec<service>(From, Spec, Context);
  case resource_kind::Policy:
    return readSpec<policy>(From, Spec, Context);
  case resource_kind::Pool:
    // The members of a pool object are not read, because no write is allowed.
    Spec.Value = pool{};
    return;
  case resource_kind::Configuration:
    return readSpec<fleet_config>(From, Spec, Context);
  case resource_kind::Instance:
    return readSpec<instance>(From, Spec, Context);
  case resource_kind::Quarantine:
    return readSpec<quarantine>(From, Spec, Context);
  case resource_kind::Rollout:
    return readSpec<rollout>(From, Spec, Context);
  }
}

/// True if the path `Part` is `Whole` or a part of it.
bool contains(std::string_view Whole, std::string_view Part) noexcept {
  return Part.substr(0, Whole.size()) == Whole &&
         (Part.size() == Whole.size() || Part[Whole.size()] == '.' ||
          Part[Whole.size()] == '[');
}

/// True if a fault of a value only follows from a fault of the form, which
/// has left the field at its default.
bool followsFrom(const field_error &Form, const field_error &Value) noexcept {
  return contains(Form.Path, Value.Path) ||
         (Value.Code == field_code::Duplicate &&
          contains(Value.Path, Form.Path)) ||
         (Form.Path == "spec.kind" && Value.Path == "spec.model");
}

/// Adds the faults that are new and do not only follow from earlier ones.
std::vector<field_error> merge(const std::vector<field_error> &Earlier,
                               std::vector<field_error> Later) {
  std::vector<field_error> All = Earlier;
  for (auto &Error : Later) {
    if (std::none_of(Earlier.begin(), Earlier.end(), [&](const auto &Known) {
          return followsFrom(Known, Error);
        })) {
      All.push_back(std::move(Error));
    }
  }
  return All;
}

} // namespace

json toJson(const resource &Object) {
  json Out = {
      {"kind", nameOf(Object.kind())},
      {"name", Object.Name},
      {"version", Object.Version},
      {"revision", number(Object.Revision)},
      {"spec", std::visit([](const auto &Spec) { return specToJson(Spec); },
                          Object.Spec.Value)},
  };
  if (const char *Field = numberField(Object.kind())) {
    Out[Field] = Object.Number;
  }
  return Out;
}

json toJson(const field_error &Error) {
  return {{"path", Error.Path},
          {"code", nameOf(Error.Code)},
          {"message", Error.Message}};
}

json toJson(const command_outcome &Outcome) {
  json Out = {{"outcome", nameOf(Outcome.Code)}};
  if (Outcome.Object) {
    Out["object"] = toJson(*Outcome.Object);
  }
  for (const auto &Error : Outcome.Errors) {
    Out["errors"].push_back(toJson(Error));
  }
  for (const auto &Key : Outcome.Referrers) {
    Out["referrers"].push_back(
        {{"kind", nameOf(Key.Kind)}, {"name", Key.Name}});
  }
  if (Outcome.Code == outcome_code::Completed) {
    Out["answer"] = {{"status", Outcome.Answer.Status},
                     {"content_type", Outcome.Answer.ContentType},
                     {"body", Outcome.Answer.Body},
                     {"status_only", Outcome.Answer.StatusOnly}};
  }
  if (Outcome.ExpiresAtMs != 0) {
    Out["expires_at_ms"] = Outcome.ExpiresAtMs;
  }
  if (Outcome.Count != 0) {
    Out["count"] = Outcome.Count;
  }
  if (Outcome.Resent) {
    Out["resent"] = true;
  }
  return Out;
}

parsed_put parsePut(const json &Object, std::string_view RequestId) {
  parsed_put Parsed;
  Parsed.Put.RequestId = RequestId;
  auto &Errors = Parsed.Errors;
  Errors = checkRequestId(RequestId);
  if (!Object.is_object()) {
    Errors.push_back({"", field_code::WrongType, "expected an object"});
    return Parsed;
  }
  const std::size_t Before = Errors.size();
  auto Kind = resource_kind::Team;
  read_context Context{Errors};
  field_reader Reader(Object, "", Context);
  Reader.required("kind", Kind);
  const bool KindKnown = Errors.size() == Before;
  Reader.required("name", Parsed.Put.Name);
  Reader.optional("version", Parsed.Put.ExpectedVersion);
  Reader.ignored("revision");
  Reader.ignored("spec");
  if (const char *Field = numberField(Kind); KindKnown && Field != nullptr) {
    Reader.ignored(Field);
  }
  Reader.finish();
  const auto Spec = Object.find("spec");
  if (Spec == Object.end()) {
    Errors.push_back({"spec", field_code::Missing, "the field is required"});
  } else if (!Spec->is_object()) {
    Errors.push_back({"spec", field_code::WrongType, "expected an object"});
  } else if (KindKnown) {
    readSpecOfKind(Kind, *Spec, Parsed.Put.Spec, Context);
  }
  if (KindKnown && Spec != Object.end() && Spec->is_object()) {
    Errors = merge(Errors, checkValues(Parsed.Put.Name, Parsed.Put.Spec));
  }
  return Parsed;
}

parsed_put parsePutText(std::string_view Text, std::string_view RequestId) {
  const json Object = parseJson(Text);
  if (Object.is_discarded()) {
    parsed_put Parsed;
    Parsed.Put.RequestId = RequestId;
    Parsed.Errors = checkRequestId(RequestId);
    Parsed.Errors.push_back(
        {"", field_code::Malformed, "the text is not valid JSON"});
    return Parsed;
  }
  return parsePut(Object, RequestId);
}

std::vector<field_error> allErrors(const parsed_put &Parsed,
                                   const state_machine &Store) {
  const bool KindKnown = std::none_of(
      Parsed.Errors.begin(), Parsed.Errors.end(), [](const auto &Error) {
        return Error.Path.empty() || Error.Path == "kind";
      });
  return KindKnown ? merge(Parsed.Errors, Store.check(Parsed.Put))
                   : Parsed.Errors;
}

} // namespace arbutus::store
