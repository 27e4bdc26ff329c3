#ifndef ARBUTUS_CLI_TABLE_TEXT_H
#define ARBUTUS_CLI_TABLE_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace arbutus::cli {

/// Aligns rows in columns, two spaces apart. The first row is the heading.
[[nodiscard]] std::string
tableText(const std::vector<std::vector<std::string>> &Rows);

/// A row per object: kind, name, version, revision and spec.
[[nodiscard]] std::string objectTable(const nlohmann::json &Objects);

/// The fleet's revision, nodes and pools of `GET /api/v1/status`.
[[nodiscard]] std::string statusTable(const nlohmann::json &Status);

} // namespace arbutus::cli

#endif
