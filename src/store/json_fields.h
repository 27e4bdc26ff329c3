#ifndef ARBUTUS_STORE_JSON_FIELDS_H
#define ARBUTUS_STORE_JSON_FIELDS_H

#include "base/json_reader.h"
#include "base/name_table.h"
#include "store/entry_memory.h"
#include "store/field_error.h"
#include "store/nearest_name.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

/// Fields of specs as JSON: the visitors that `visitFields` of a spec calls.
namespace arbutus::store::impl {

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

/// What the readers of one text share.
struct read_context {
  std::vector<field_error> &Errors;
  entry_memory Memory{jsonLimits().MaxBytes};

  /// False once no more faults are collected, so that the rest is not read.
  [[nodiscard]] bool wantsMore() const noexcept {
    return Errors.size() < MaxFieldErrors;
  }
};

/// Reads the fields of one JSON object and collects its faults.
class field_reader {
public:
  field_reader(const json &In, std::string Path, read_context &Context)
      : In(In), Path(std::move(Path)), Context(Context) {}

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
      if (!Context.wantsMore()) {
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
    if (!Context.Memory.take<T>()) {
      add(At, field_code::OutOfRange,
          "the entries before it fill the memory for one object");
      return false;
    }
    readValue(From, At, List.emplace_back());
    return Context.wantsMore();
  }

private:
  std::string pathOf(const std::string &Field) const {
    return Path.empty() ? Field : Path + "." + Field;
  }
  void add(std::string At, field_code Code, std::string Message) {
    addFault(Context.Errors, {std::move(At), Code, std::move(Message)});
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
    field_reader Inner(From, At, Context);
    T::visitFields(Value, Inner);
    Inner.finish();
  }

  template <class T>
  void readList(const json &From, const std::string &At, T &Value) {
    if (!From.is_array()) {
      wrongType(At, "a list");
      return;
    }
    field_reader Entries(From, "", Context);
    for (const auto &Entry : From) {
      if (!Entries.readEntry(Entry, At.c_str(), Value)) {
        return;
      }
    }
  }

  const json &In;
  std::string Path;
  read_context &Context;
  std::vector<std::string_view> Known;
};

} // namespace arbutus::store::impl

#endif
