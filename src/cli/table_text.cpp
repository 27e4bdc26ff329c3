#include "cli/table_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutus::cli {

namespace {

std::string fieldText(const nlohmann::json &Object, const char *Key) {
  if (!Object.is_object() || !Object.contains(Key)) {
    return "-";
  }
  const auto &Value = Object[Key];
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

using table_rows = std::vector<std::vector<std::string>>;

void appendRows(table_rows &Rows, const nlohmann::json &Objects,
                const std::vector<const char *> &Keys) {
  for (const auto &Object : Objects) {
    std::vector<std::string> Row;
    Row.reserve(Keys.size());
    for (const char *Key : Keys) {
      Row.push_back(fieldText(Object, Key));
    }
    Rows.push_back(std::move(Row));
  }
}

} // namespace

std::string formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Widths[I] = std::max(Widths[I], Row[I].size());
    }
  }
  std::string Text;
  for (const auto &Row : Rows) {
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Text += Row[I];
      if (I + 1 < Row.size()) {
        Text += std::string(Widths[I] - Row[I].size() + 2, ' ');
      }
    }
    Text += '\n';
  }
  return Text;
}

std::string formatObjectTable(const nlohmann::json &Objects) {
  table_rows Rows = {{"KIND", "NAME", "VERSION", "REVISION", "SPEC"}};
  appendRows(Rows, Objects, {"kind", "name", "version", "revision", "spec"});
  return formatTable(Rows);
}

std::string formatStatusTable(const nlohmann::json &Status) {
  std::string Text = "revision " + fieldText(Status, "revision") + "\n\n";
  table_rows Nodes = {{"NODE", "NAME", "DOMAIN", "HTTP", "ROUTER", "CONTROL",
                       "SUSPECTED", "LEAVING", "REVISION"}};
  if (Status.contains("nodes")) {
    appendRows(Nodes, Status["nodes"],
               {"id", "name", "failure_domain", "http", "router", "control",
                "suspected", "leaving", "revision"});
  }
  Text += formatTable(Nodes);
  if (Status.contains("pools")) {
    Text += "\n" + formatObjectTable(Status["pools"]);
  }
  return Text;
}

} // namespace arbutus::cli
