#include "store/config_json.h"

#include "store/config_rules.h"
#include "store/json_fields.h"

#include <functional>

namespace arbutus::store {

namespace {

using impl::field_reader;
using impl::read_context;
using impl::valueToJson;
using nlohmann::json;

/// Reads the entries of a configuration's lists as they come, so that no long
/// list is in memory as JSON values.
class config_lists {
public:
  config_lists(fleet_config &Config, read_context &Context)
      : Config(Config), Fields(NoFields, "", Context) {}

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

} // namespace

parsed_config parseConfigText(std::string_view Text) {
  parsed_config Parsed;
  read_context Context{Parsed.Errors};
  config_lists Lists(Parsed.Config, Context);
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
  field_reader Reader(Read.value(), "", Context);
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

json toJson(const fleet_config &Config) { return impl::specToJson(Config); }

} // namespace arbutus::store
