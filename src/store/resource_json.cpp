#include "store/resource_json.h"

#include "base/json_reader.h"
#include "store/config_rules.h"
#include "store/entry_memory.h"
#include "store/nearest_name.h"
#include "store/state_machine.h"
#include "store/validation.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>

namespace arbutus::store {

namespace {

using nlohmann::json;

template <class T> json valueToJson(const T &Value);

struct field_writer {
  json Out = json::object();

  template <class T> void required(const char *Field, const T &Value) {
    Out[Field] = valueToJson(Value);
  }
  template <class T> void optional(const char *Field, const T &Value) {
    Out[Field] = valueToJson(Value);
  }
};

template <class T> json specToJson(const T &Spec) {
  field_writer Writer;
  T::visitFields(Spec, Writer);
  return std::move(Writer.Out);
}

template <class T>
concept named_enum = std::is_enum_v<T> && requires {
  name_table<T>::Rows;
};

template <class T>
concept field_struct = requires(T Value, field_writer Writer) {
  T::visitFields(Value, Writer);
};

template <class T> json valueToJson(const T &Value) {
  if constexpr (named_enum<T>) {
    return nameOf(Value);
  } else if constexpr (std::is_enum_v<T>) {
    return number(Value);
  } else if constexpr (field_struct<T>) {
    return specToJson(Value);
  } else if constexpr (requires { typename T::value_type; } &&
                       !std::is_same_v<T, std::string>) {
    json List = json::array();
    for (const auto &Entry : Value) {
      List.push_back(valueToJson(Entry));
    }
    return List;
  } else {
    return Value;
  }
}

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

/// What the readers of one text share.
struct reading {
  std::vector<field_error> &Errors;
  entry_memory Memory{jsonLimits().MaxBytes};

  /// False once no more faults are collected, so that the rest is not read.
  [[nodiscard]] bool goesOn() const noexcept {
    return Errors.size() < MaxFieldErrors;
  }
};

/// Reads the fields of one JSON object and collects its faults.
class field_reader {
public:
  field_reader(const json &In, std::string Path, reading &Reading)
      : In(In), Path(std::move(Path)), Reading(Reading) {}

  template <class T> void required(const char *Field, T &Value) {
    if (!read(Field, Value)) {
      add(pathOf(Field), field_code::Missing, "the field is required");
    }
  }
  template <class T> void optional(const char *Field, T &Value) {
    read(Field, Value);
  }
  /// Accepts a field and ignores its value.
  void ignored(const char *Field) { Known.emplace_back(Field); }

  /// Reports the fields that no call has named.
  void finish() {
    for (const auto &[Field, Value] : In.items()) {
      if (!Reading.goesOn()) {
        return;
      }
      if (std::find(Known.begin(), Known.end(), Field) == Known.end()) {
        add(pathOf(Field), field_code::UnknownField,
            "there is no such field" + suggestion(Field, Known));
      }
    }
  }

  /// Reads one more entry of a list that is a field of the object. Returns
  /// false if the entries after it are not to be read.
  template <class T>
  bool readEntry(const json &From, const char *Field, std::vector<T> &List) {
    const auto Index = List.size();
    const auto At = fmt::format("{}[{}]", pathOf(Field), Index);
    if (!Reading.Memory.take<T>()) {
      add(At, field_code::OutOfRange,
          "the entries before it fill the memory for one object");
      return false;
    }
    readValue(From, At, List.emplace_back());
    return Reading.goesOn();
  }

private:
  std::string pathOf(const std::string &Field) const {
    return Path.empty() ? Field : Path + "." + Field;
  }
  void add(std::string At, field_code Code, std::string Message) {
    addFault(Reading.Errors, {std::move(At), Code, std::move(Message)});
  }
  void wrongType(const std::string &At, std::string_view Expected) {
    add(At, field_code::WrongType, fmt::format("expected {}", Expected));
  }

  template <class T> bool read(const char *Field, T &Value) {
    Known.emplace_back(Field);
    const auto Found = In.find(Field);
    if (Found == In.end()) {
      return false;
    }
    readValue(*Found, pathOf(Field), Value);
    return true;
  }

  template <class T>
  void readValue(const json &From, const std::string &At, T &Value) {
    if constexpr (std::is_same_v<T, std::string>) {
      if (From.is_string()) {
        Value = From.get<std::string>();
      } else {
        wrongType(At, "a string");
      }
    } else if constexpr (std::is_same_v<T, bool>) {
      if (From.is_boolean()) {
        Value = From.get<bool>();
      } else {
        wrongType(At, "true or false");
      }
    } else if constexpr (std::is_floating_point_v<T>) {
      if (From.is_number()) {
        Value = From.get<T>();
      } else {
        wrongType(At, "a number");
      }
    } else if constexpr (std::is_integral_v<T>) {
      readInteger(From, At, Value);
    } else if constexpr (named_enum<T>) {
      readEnum(From, At, Value);
    } else if constexpr (field_struct<T>) {
      readStruct(From, At, Value);
    } else {
      readList(From, At, Value);
    }
  }

  template <class T>
  void readInteger(const json &From, const std::string &At, T &Value) {
    if (!From.is_number_integer()) {
      wrongType(At, "an integer");
    } else if (!From.is_number_unsigned() ||
               From.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
      add(At, field_code::OutOfRange,
          fmt::format("{} is not between 0 and {}", From.dump(),
                      std::numeric_limits<T>::max()));
    } else {
      Value = From.get<T>();
    }
  }

  template <class T>
  void readEnum(const json &From, const std::string &At, T &Value) {
    if (!From.is_string()) {
      wrongType(At, "a string");
      return;
    }
    const auto Text = From.get<std::string>();
    if (const auto Named = valueOf<T>(Text)) {
      Value = *Named;
      return;
    }
    std::vector<std::string_view> Names;
    for (const auto &Row : name_table<T>::Rows) {
      Names.push_back(Row.Name);
    }
    add(At, field_code::UnknownValue,
        fmt::format("\"{}\" is none of: {}{}", Text, fmt::join(Names, ", "),
                    suggestion(Text, Names)));
  }

  template <class T>
  void readStruct(const json &From, const std::string &At, T &Value) {
    if (!From.is_object()) {
      wrongType(At, "an object");
      return;
    }
    field_reader Inner(From, At, Reading);
    T::visitFields(Value, Inner);
    Inner.finish();
  }

  template <class T>
  void readList(const json &From, const std::string &At, T &Value) {
    if (!From.is_array()) {
      wrongType(At, "a list");
      return;
    }
    field_reader Entries(From, "", Reading);
    for (const auto &Entry : From) {
      if (!Entries.readEntry(Entry, At.c_str(), Value)) {
        return;
      }
    }
  }

  const json &In;
  std::string Path;
  reading &Reading;
  std::vector<std::string_view> Known;
};

template <class T>
void readSpec(const json &From, resource_spec &Spec, reading &Reading) {
  T Value;
  field_reader Reader(From, "spec", Reading);
  T::visitFields(Value, Reader);
  Reader.finish();
  Spec.Value = std::move(Value);
}

void readSpecOfKind(resource_kind Kind, const json &From, resource_spec &Spec,
                    reading &Reading) {
  switch (Kind) {
  case resource_kind::Team:
    return readSpec<team>(From, Spec, Reading);
  case resource_kind::Upstream:
    return readSpec<upstream>(From, Spec, Reading);
  case resource_kind::FailureDomain:
    return readSpec<failure_domain>(From, Spec, Reading);
  case resource_kind::Service:
    return readSpec<service>(From, Spec, Reading);
  case resource_kind::Policy:
    return readSpec<policy>(From, Spec, Reading);
  case resource_kind::Pool:
    // The members of a pool object are not read, because no write is allowed.
    Spec.Value = pool{};
    return;
  case resource_kind::Configuration:
    return readSpec<fleet_config>(From, Spec, Reading);
  case resource_kind::Instance:
    return readSpec<instance>(From, Spec, Reading);
  case resource_kind::Quarantine:
    return readSpec<quarantine>(From, Spec, Reading);
  case resource_kind::Rollout:
    return readSpec<rollout>(From, Spec, Reading);
  }
}

/// Reads the entries of a configuration's lists as they come, so that no long
/// list is in memory as JSON values.
class config_lists {
public:
  config_lists(fleet_config &Config, reading &Reading)
      : Config(Config), Fields(NoFields, "", Reading) {}

  [[nodiscard]] json_list_receiver receiver() {
    return {[this](std::string_view Field) { return begin(Field); },
            [this](const json &Entry) { return ReadEntry(Entry); }};
  }

private:
  bool begin(std::string_view Field) {
    return select(Field, "routes", Config.Routes) ||
           select(Field, "services", Config.Services) ||
           select(Field, "teams", Config.Teams);
  }

  template <class T>
  bool select(std::string_view Field, const char *Name, std::vector<T> &List) {
    if (Field != Name) {
      return false;
    }
    List.clear(); // of a field that appears twice the last counts
    ReadEntry = [this, Name, &List](const json &Entry) {
      return Fields.readEntry(Entry, Name, List);
    };
    return true;
  }

  const json NoFields = json::object();
  fleet_config &Config;
  field_reader Fields;
  std::function<bool(const json &)> ReadEntry;
};

std::string toText(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Writes an object field by field, and a list entry by entry, so that the
/// whole is never in memory as JSON values.
struct text_writer {
  std::string Out;

  template <class T> void required(const char *Field, const T &Value) {
    Out += Out.empty() ? "{" : ",";
    Out += fmt::format("\"{}\":", Field);
    if constexpr (requires { typename T::value_type; } &&
                  !std::is_same_v<T, std::string>) {
      writeList(Value);
    } else {
      Out += toText(valueToJson(Value));
    }
  }
  template <class T> void optional(const char *Field, const T &Value) {
    required(Field, Value);
  }
  [[nodiscard]] std::string finish() { return std::move(Out += "}"); }

private:
  template <class T> void writeList(const std::vector<T> &List) {
    Out += "[";
    for (std::size_t I = 0; I < List.size(); ++I) {
      Out += I == 0 ? "" : ",";
      Out += toText(valueToJson(List[I]));
    }
    Out += "]";
  }
};

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
  reading Reading{Errors};
  field_reader Reader(Object, "", Reading);
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
    readSpecOfKind(Kind, *Spec, Parsed.Put.Spec, Reading);
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

parsed_config parseConfigText(std::string_view Text) {
  parsed_config Parsed;
  reading Reading{Parsed.Errors};
  config_lists Lists(Parsed.Config, Reading);
  const auto Read = readJson(Text, jsonLimits(), Lists.receiver());
  const bool IsObject = Read.has_value() && Read.value().is_object();
  if (!IsObject && Parsed.Errors.empty()) {
    Parsed.Errors.push_back(
        {"", field_code::Malformed,
         Read.has_error() ? fmt::format("the text is not a JSON object: {}",
                                        nameOf(Read.error()))
                          : "the text is not a JSON object"});
  }
  if (!IsObject) {
    return Parsed;
  }
  // The lists are in the configuration already, and empty in what was read.
  field_reader Reader(Read.value(), "", Reading);
  fleet_config::visitFields(Parsed.Config, Reader);
  Reader.finish();
  if (Parsed.Errors.empty()) {
    Parsed.Errors = checkConfig(Parsed.Config);
  }
  return Parsed;
}

std::string configText(const fleet_config &Config) {
  text_writer Writer;
  // The lists take about as much as the document that they come from. A text
  // that grows step by step takes up to three times its size.
  Writer.Out.reserve(3 * Config.Document.size());
  fleet_config::visitFields(Config, Writer);
  return Writer.finish();
}

json toJson(const fleet_config &Config) { return specToJson(Config); }

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
