#include "settings/table_reader.h"

#include "settings/spelling_suggestion.h"

#include <algorithm>
#include <cctype>

namespace arbutus::settings::impl {

namespace {

constexpr std::size_t MaxNameLength = 64;

std::string_view typeName(const toml::node &Node) noexcept {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a text";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a decimal number";
  case toml::node_type::boolean:
    return "a boolean";
  default:
    return "a date or time";
  }
}

bool isName(std::string_view Text) noexcept {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
           return std::isalnum(Character) != 0 || Character == '-' ||
                  Character == '_' || Character == '.';
         });
}

} // namespace

void error_list::add(int Line, std::string Key, settings_error_code Code,
                     std::string Reason, std::string Suggestion) {
  Errors.push_back({File, Line, std::move(Key), Code, std::move(Reason),
                    std::move(Suggestion)});
}

int lineOf(const toml::node &Node) noexcept {
  return static_cast<int>(Node.source().begin.line);
}

table_reader::table_reader(const toml::table *Table, std::string Path, int Line,
                           error_list &Errors) noexcept
    : Table(Table), Path(std::move(Path)), Line(Line), Errors(&Errors) {}

std::optional<std::string> table_reader::string(const std::string &Key,
                                                presence Presence) {
  const auto *Node = find(Key, Presence);
  if (Node == nullptr) {
    return std::nullopt;
  }
  const auto *Text = Node->as_string();
  if (Text == nullptr) {
    addTypeError(Key, "a text", *Node);
    return std::nullopt;
  }
  if (Text->get().empty()) {
    addError(Key, settings_error_code::InvalidValue, "must not be empty");
    return std::nullopt;
  }
  return Text->get();
}

std::optional<std::string> table_reader::name(const std::string &Key,
                                              presence Presence) {
  auto Text = string(Key, Presence);
  if (Text && !isName(*Text)) {
    addError(Key, settings_error_code::InvalidValue,
             "must have 1 to 64 letters, digits, '-', '_' or '.'");
    return std::nullopt;
  }
  return Text;
}

std::optional<std::int64_t> table_reader::integer(const std::string &Key,
                                                  integer_range Range,
                                                  presence Presence) {
  const auto *Node = find(Key, Presence);
  if (Node == nullptr) {
    return std::nullopt;
  }
  const auto *Integer = Node->as_integer();
  if (Integer == nullptr) {
    addTypeError(Key, "an integer", *Node);
    return std::nullopt;
  }
  const std::int64_t Value = Integer->get();
  if (Value < Range.Min || Value > Range.Max) {
    addError(Key, settings_error_code::OutOfRange,
             std::to_string(Value) + " is not in " + std::to_string(Range.Min) +
                 ".." + std::to_string(Range.Max));
    return std::nullopt;
  }
  return Value;
}

std::optional<double> table_reader::number(const std::string &Key,
                                           integer_range Range,
                                           presence Presence) {
  const auto *Node = find(Key, Presence);
  if (Node == nullptr) {
    return std::nullopt;
  }
  const auto Value = Node->value<double>();
  if (!Node->is_number() || !Value) {
    addTypeError(Key, "a number", *Node);
    return std::nullopt;
  }
  const bool InRange = *Value >= static_cast<double>(Range.Min) &&
                       *Value <= static_cast<double>(Range.Max);
  if (!InRange) { // Also true for NaN.
    addError(Key, settings_error_code::OutOfRange,
             std::to_string(*Value) + " is not in " +
                 std::to_string(Range.Min) + ".." + std::to_string(Range.Max));
    return std::nullopt;
  }
  return Value;
}

std::optional<bool> table_reader::boolean(const std::string &Key) {
  const auto *Node = find(Key, presence::Optional);
  if (Node == nullptr) {
    return std::nullopt;
  }
  const auto *Boolean = Node->as_boolean();
  if (Boolean == nullptr) {
    addTypeError(Key, "true or false", *Node);
    return std::nullopt;
  }
  return Boolean->get();
}

std::optional<endpoint> table_reader::address(const std::string &Key,
                                              presence Presence,
                                              bool AllowAnyPort) {
  const auto Text = string(Key, Presence);
  if (!Text) {
    return std::nullopt;
  }
  auto Address = parseEndpoint(*Text);
  if (!Address) {
    addError(Key, settings_error_code::InvalidValue,
             "\"" + *Text + "\" is not a numeric ip:port");
    return std::nullopt;
  }
  if (Address->Ip == "0.0.0.0" || Address->Ip == "::") {
    // Callers and peers get this address, so they must be able to connect to
    // it.
    addError(Key, settings_error_code::InvalidValue,
             "must be an address that other machines can connect to, not " +
                 Address->Ip);
    return std::nullopt;
  }
  if (Address->Port == 0 && !AllowAnyPort) {
    addError(Key, settings_error_code::OutOfRange, "port 0 is not in 1..65535");
    return std::nullopt;
  }
  return Address;
}

std::optional<std::filesystem::path> table_reader::path(const std::string &Key,
                                                        presence Presence) {
  const auto Text = string(Key, Presence);
  if (!Text) {
    return std::nullopt;
  }
  const auto Folder = std::filesystem::path(Errors->File).parent_path();
  return (Folder / *Text).lexically_normal();
}

std::vector<table_reader::string_item>
table_reader::strings(const std::string &Key, presence Presence) {
  std::vector<string_item> Items;
  const auto *Node = find(Key, Presence);
  if (Node == nullptr) {
    return Items;
  }
  const auto *Array = Node->as_array();
  if (Array == nullptr) {
    addTypeError(Key, "an array of texts", *Node);
    return Items;
  }
  if (Array->empty() && Presence == presence::Required) {
    addError(Key, settings_error_code::InvalidValue, "must not be empty");
  }
  for (std::size_t I = 0; I < Array->size(); ++I) {
    const auto &Element = *Array->get(I);
    const auto KeyPath = fullKey(Key) + "[" + std::to_string(I) + "]";
    if (const auto *Text = Element.as_string()) {
      Items.push_back({Text->get(), KeyPath, lineOf(Element)});
    } else {
      Errors->add(lineOf(Element), KeyPath, settings_error_code::WrongType,
                  "expected a text, found " + std::string(typeName(Element)));
    }
  }
  return Items;
}

table_reader table_reader::table(const std::string &Key) {
  const auto *Node = find(Key, presence::Optional);
  if (Node != nullptr && Node->as_table() == nullptr) {
    addTypeError(Key, "a table", *Node);
  }
  const auto *Found = Node == nullptr ? nullptr : Node->as_table();
  return {Found, fullKey(Key), Node == nullptr ? Line : lineOf(*Node), *Errors};
}

std::vector<table_reader> table_reader::tables(const std::string &Key,
                                               presence Presence) {
  std::vector<table_reader> Readers;
  const auto *Node = find(Key, Presence);
  if (Node == nullptr) {
    return Readers;
  }
  const auto *Array = Node->as_array();
  if (Array == nullptr) {
    addTypeError(Key, "an array of tables", *Node);
    return Readers;
  }
  if (Array->empty() && Presence == presence::Required) {
    addError(Key, settings_error_code::InvalidValue, "must not be empty");
  }
  for (std::size_t I = 0; I < Array->size(); ++I) {
    const auto &Element = *Array->get(I);
    auto KeyPath = fullKey(Key) + "[" + std::to_string(I) + "]";
    if (const auto *Found = Element.as_table()) {
      Readers.emplace_back(Found, std::move(KeyPath), lineOf(Element), *Errors);
    } else {
      Errors->add(lineOf(Element), std::move(KeyPath),
                  settings_error_code::WrongType,
                  "expected a table, found " + std::string(typeName(Element)));
    }
  }
  return Readers;
}

void table_reader::addError(const std::string &Key, settings_error_code Code,
                            std::string Reason, std::string Suggestion) {
  const auto *Node = Table == nullptr ? nullptr : Table->get(Key);
  Errors->add(Node == nullptr ? Line : lineOf(*Node), fullKey(Key), Code,
              std::move(Reason), std::move(Suggestion));
}

bool table_reader::has(const std::string &Key) {
  return find(Key, presence::Optional) != nullptr;
}

void table_reader::reportUnknownKeys() {
  if (Table == nullptr) {
    return;
  }
  for (const auto &[Key, Node] : *Table) {
    const std::string Name(Key.str());
    if (std::find(RequestedKeys.begin(), RequestedKeys.end(), Name) ==
        RequestedKeys.end()) {
      Errors->add(static_cast<int>(Key.source().begin.line), fullKey(Name),
                  settings_error_code::UnknownKey, "unknown key",
                  suggestSpelling(Name, RequestedKeys));
    }
  }
}

const toml::node *table_reader::find(const std::string &Key,
                                     presence Presence) {
  RequestedKeys.push_back(Key);
  const auto *Node = Table == nullptr ? nullptr : Table->get(Key);
  if (Node == nullptr && Presence == presence::Required) {
    addError(Key, settings_error_code::MissingKey, "is required");
  }
  return Node;
}

void table_reader::addTypeError(const std::string &Key,
                                std::string_view Expected,
                                const toml::node &Node) {
  addError(Key, settings_error_code::WrongType,
           "expected " + std::string(Expected) + ", found " +
               std::string(typeName(Node)));
}

std::string table_reader::fullKey(const std::string &Key) const {
  return Path.empty() ? Key : Path + "." + Key;
}

} // namespace arbutus::settings::impl
