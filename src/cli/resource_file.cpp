#include "cli/resource_file.h"

#include "base/json_reader.h"
#include "store/resource_json.h"
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace arbutus::cli {

namespace {

constexpr std::string_view ApplyOrder[] = {"failure_domain", "policy",
                                           "service", "team", "upstream"};

std::ptrdiff_t kindRank(const std::string &Kind) {
  return std::find(std::begin(ApplyOrder), std::end(ApplyOrder), Kind) -
         std::begin(ApplyOrder);
}

bool hasString(const nlohmann::json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_string();
}

} // namespace

result<std::vector<desired_resource>, resource_file_errors>
parseResources(std::string_view Text) {
  const auto Json = parseJson(Text);
  if (!Json.is_array()) {
    return resource_file_errors{"the file is not a JSON array"};
  }
  std::vector<desired_resource> Resources;
  resource_file_errors Errors;
  std::set<std::pair<std::string, std::string>> Seen;
  for (std::size_t I = 0;
       I < Json.size() && Errors.size() < store::MaxFieldErrors; ++I) {
    const auto &Object = Json[I];
    const std::string Location = "[" + std::to_string(I) + "]";
    if (!Object.is_object() || !hasString(Object, "kind") ||
        !hasString(Object, "name") || !Object.contains("spec")) {
      Errors.push_back(Location + ": needs kind, name and spec");
      continue;
    }
    auto Kind = Object["kind"].get<std::string>();
    auto Name = Object["name"].get<std::string>();
    if (kindRank(Kind) == std::ssize(ApplyOrder)) {
      Errors.push_back(
          fmt::format("{}.kind: \"{}\" cannot be applied", Location, Kind));
      continue;
    }
    if (!Seen.emplace(Kind, Name).second) {
      Errors.push_back(
          fmt::format("{}: {} {} is listed twice", Location, Kind, Name));
    }
    auto Parsed = store::parsePut(Object, "apply");
    for (const auto &Error : Parsed.Errors) {
      Errors.push_back(
          fmt::format("{}.{}: {}", Location, Error.Path, Error.Message));
    }
    store::resource Resource;
    Resource.Name = Name;
    Resource.Spec = std::move(Parsed.Put.Spec);
    Resources.push_back(
        {std::move(Kind), std::move(Name), store::toJson(Resource)["spec"]});
  }
  if (!Errors.empty()) {
    return Errors;
  }
  std::stable_sort(
      Resources.begin(), Resources.end(),
      [](const desired_resource &Left, const desired_resource &Right) {
        return kindRank(Left.Kind) < kindRank(Right.Kind);
      });
  return Resources;
}

} // namespace arbutus::cli
