#ifndef ARBUTUS_CLI_TABLE_TEXT_H
#define ARBUTUS_CLI_TABLE_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace arbutus::cli {

/// Formats rows as aligned columns, two spaces apart. The first row is the
/// heading.
[[nodiscard]] std::string
formatTable(const std::vector<std::vector<std::string>> &Rows);

/// Formats one row per object: kind, name, version, revision and spec.
[[nodiscard]] std::string formatObjectTable(const nlohmann::json &Objects);

/// Formats the fleet's revision, nodes and pools from the response of
/// `GET /api/v1/status`.
[[nodiscard]] std::string formatStatusTable(const nlohmann::json &Status);

} // namespace arbutus::cli

#endif
