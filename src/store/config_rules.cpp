#include "store/config_rules.h"

#include <fmt/format.h>

#include <set>
#include <string_view>
#include <utility>

namespace arbutus::store {

namespace {

/// Collects the faults of one configuration.
struct config_checker {
  const fleet_config &Config;
  std::vector<field_error> Errors;
  std::set<std::string_view> Services;

  void add(std::string Path, field_code Code, std::string Message) {
    addFault(Errors, {std::move(Path), Code, std::move(Message)});
  }

  void checkServices() {
    for (std::size_t I = 0; I < Config.Services.size(); ++I) {
      const auto &Name = Config.Services[I].Name;
      if (Name.empty()) {
        add(fmt::format("services[{}].name", I), field_code::Missing,
            "a service has a name");
      } else if (!Services.insert(Name).second) {
        add(fmt::format("services[{}].name", I), field_code::Duplicate,
            fmt::format("service \"{}\" appears twice", Name));
      }
    }
  }

  void checkTargets(const std::string &Path, const traffic_route &Route) {
    std::uint64_t Sum = 0;
    for (std::size_t I = 0; I < Route.Targets.size(); ++I) {
      const auto &Target = Route.Targets[I];
      Sum += Target.Weight;
      if (!Services.contains(Target.Service)) {
        add(fmt::format("{}.targets[{}].service", Path, I),
            field_code::NoSuchObject,
            fmt::format("there is no service \"{}\"", Target.Service));
      }
    }
    if (Sum == 0) {
      add(Path + ".targets", field_code::OutOfRange, "the weights add up to 0");
    }
  }

  void checkRoutes() {
    std::set<std::pair<std::string_view, std::string_view>> Prefixes;
    for (std::size_t I = 0; I < Config.Routes.size(); ++I) {
      const auto &Route = Config.Routes[I];
      const std::string Path = fmt::format("routes[{}]", I);
      checkTargets(Path, Route);
      if (Route.TimeoutMs == 0) {
        add(Path + ".timeout_ms", field_code::OutOfRange,
            "a timeout is at least 1 ms");
      }
      if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
          Route.PathPrefix.back() != '/') {
        add(Path + ".path_prefix", field_code::BadFormat,
            "a prefix begins and ends with a slash");
      }
      if (!Prefixes.insert({Route.Host, Route.PathPrefix}).second) {
        add(Path, field_code::Duplicate,
            fmt::format("host \"{}\" has the prefix \"{}\" twice", Route.Host,
                        Route.PathPrefix));
      }
    }
  }

  void checkTeams() {
    std::set<std::string_view> Names;
    std::set<std::string_view> Keys;
    for (std::size_t I = 0; I < Config.Teams.size(); ++I) {
      const auto &Team = Config.Teams[I];
      if (!Names.insert(Team.Name).second) {
        add(fmt::format("teams[{}].name", I), field_code::Duplicate,
            fmt::format("team \"{}\" appears twice", Team.Name));
      }
      std::set<std::string_view> Own(Team.Keys.begin(), Team.Keys.end());
      for (const auto Key : Own) {
        if (!Keys.insert(Key).second) {
          // The key is left out of the message, because it is a secret.
          add(fmt::format("teams[{}].keys", I), field_code::Duplicate,
              "another team has one of these keys");
        }
      }
    }
  }
};

} // namespace

std::vector<field_error> checkConfig(const fleet_config &Config) {
  config_checker Checker{Config, {}, {}};
  Checker.checkServices();
  Checker.checkRoutes();
  Checker.checkTeams();
  return std::move(Checker.Errors);
}

} // namespace arbutus::store
