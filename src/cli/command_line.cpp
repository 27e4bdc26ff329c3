#include "cli/command_line.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace arbutus::cli {

namespace {

constexpr const char *Usage = R"(arbutustack: a fleet of request routers.

Usage:
  arbutustack serve --config=FILE
  arbutustack check --config=FILE
  arbutustack init --config=FILE
  arbutustack get KIND [NAME] [options] [--server=ADDRESS]...
  arbutustack apply FILE [options] [--server=ADDRESS]...
  arbutustack delete KIND NAME [--version=N] [options] [--server=ADDRESS]...
  arbutustack watch [--since=REVISION] [options] [--server=ADDRESS]...
  arbutustack drain (domain|upstream|node) NAME [options] [--server=ADDRESS]...
  arbutustack restore (domain|upstream|node) NAME [options] [--server=ADDRESS]...
  arbutustack rollout start NAME TARGET --within=SECONDS [options] [--server=ADDRESS]...
  arbutustack rollout (show|abort) NAME [options] [--server=ADDRESS]...
  arbutustack status [options] [--server=ADDRESS]...
  arbutustack explain ID LOG...
  arbutustack --help

Logs:
  LOG                  Log files of one or more VMs; - for standard input.
  ID                   A request's id, which the caller chose.

Options:
  --operator-key-file=FILE  File with the operator key, mode 0600 or 0400.
  --output=FORMAT           json or table [default: table].

  -h --help            Shows this text; `arbutustack --version` the version.
  --config=FILE        Settings file.
  --server=ADDRESS     A router as host:port. Repeat it or separate several by
                       commas; they are tried in order. 127.0.0.1:8080 if none
                       is given.
  --version=N          Deletes only this version of the object.
  --within=SECONDS     Time until the deadline of a rollout.
  --since=REVISION     Shows changes after this revision, not only new ones.

Exit codes:
  0  ok
  1  refused by the server (conflict, invalid, not found, wrong key)
  2  the command line is wrong
  3  a settings, key or resource file is invalid
  4  no server was reached, or none could serve the command
  5  the answer to a write is lost; it may be in force
)";

constexpr std::uint64_t MaxRolloutSeconds = 7ULL * 24 * 3'600;
constexpr const char *DefaultServer = "127.0.0.1:8080";

using arguments = std::map<std::string, docopt::value>;

bool isSet(const arguments &Parsed, const std::string &Key) {
  const auto Found = Parsed.find(Key);
  return Found != Parsed.end() && Found->second.isBool() &&
         Found->second.asBool();
}

std::string stringArgument(const arguments &Parsed, const std::string &Key) {
  const auto Found = Parsed.find(Key);
  return Found != Parsed.end() && Found->second.isString()
             ? Found->second.asString()
             : std::string();
}

std::vector<std::string> listArgument(const arguments &Parsed,
                                      const std::string &Key) {
  const auto Found = Parsed.find(Key);
  return Found != Parsed.end() && Found->second.isStringList()
             ? Found->second.asStringList()
             : std::vector<std::string>();
}

std::vector<std::string> parseServers(const arguments &Parsed) {
  std::vector<std::string> Servers;
  for (const auto &Value : listArgument(Parsed, "--server")) {
    std::size_t Start = 0;
    while (Start <= Value.size()) {
      const auto Comma = std::min(Value.find(',', Start), Value.size());
      if (Comma > Start) {
        Servers.push_back(Value.substr(Start, Comma - Start));
      }
      Start = Comma + 1;
    }
  }
  if (Servers.empty()) {
    Servers.emplace_back(DefaultServer);
  }
  return Servers;
}

std::optional<std::uint64_t> parseInteger(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || ParsedEnd != End) {
    return std::nullopt;
  }
  return Value;
}

struct command_name {
  const char *Name;
  command_kind Kind;
};
constexpr command_name CommandNames[] = {
    {"serve", command_kind::Serve},     {"check", command_kind::Check},
    {"init", command_kind::Init},       {"get", command_kind::Get},
    {"apply", command_kind::Apply},     {"delete", command_kind::Delete},
    {"watch", command_kind::Watch},     {"drain", command_kind::Drain},
    {"restore", command_kind::Restore}, {"status", command_kind::Status},
    {"explain", command_kind::Explain}, {"rollout", command_kind::Rollout},
};

struct resource_argument {
  const char *Argument;
  const char *ResourceKind;
};
constexpr resource_argument ResourceArguments[] = {
    {"domain", "failure_domain"}, {"upstream", "upstream"}, {"node", "node"}};

result<command, usage_error> toCommand(const arguments &Parsed) {
  command Command;
  for (const auto &Row : CommandNames) {
    if (isSet(Parsed, Row.Name)) {
      Command.Kind = Row.Kind;
    }
  }
  Command.ResourceKind = stringArgument(Parsed, "KIND");
  for (const auto &Row : ResourceArguments) {
    if (isSet(Parsed, Row.Argument)) {
      Command.ResourceKind = Row.ResourceKind;
    }
  }
  Command.Name = stringArgument(Parsed, "NAME");
  const auto Config = stringArgument(Parsed, "--config");
  Command.File = Config.empty() ? stringArgument(Parsed, "FILE") : Config;
  Command.Servers = parseServers(Parsed);
  Command.RequestId = stringArgument(Parsed, "ID");
  Command.LogFiles = listArgument(Parsed, "LOG");
  Command.OperatorKeyFile = stringArgument(Parsed, "--operator-key-file");
  const auto Output = stringArgument(Parsed, "--output");
  if (Output == "json") {
    Command.Output = output_format::Json;
  } else if (!Output.empty() && Output != "table") {
    return usage_error{"--output must be json or table, not " + Output};
  }
  if (const auto Version = stringArgument(Parsed, "--version");
      !Version.empty()) {
    const auto Number = parseInteger(Version);
    if (!Number || *Number == 0) {
      return usage_error{"--version must be a positive integer, not " +
                         Version};
    }
    Command.Version = *Number;
  }
  Command.SoftwareVersion = stringArgument(Parsed, "TARGET");
  if (isSet(Parsed, "start")) {
    Command.Rollout = rollout_action::Start;
  } else if (isSet(Parsed, "abort")) {
    Command.Rollout = rollout_action::Abort;
  }
  if (const auto Within = stringArgument(Parsed, "--within"); !Within.empty()) {
    const auto Seconds = parseInteger(Within);
    if (!Seconds || *Seconds == 0 || *Seconds > MaxRolloutSeconds) {
      return usage_error{"--within must be 1 to " +
                         std::to_string(MaxRolloutSeconds) + " seconds, not " +
                         Within};
    }
    Command.DurationSeconds = *Seconds;
  }
  if (const auto SinceRevision = stringArgument(Parsed, "--since");
      !SinceRevision.empty()) {
    const auto Number = parseInteger(SinceRevision);
    if (!Number) {
      return usage_error{"--since must be an integer, not " + SinceRevision};
    }
    Command.SinceRevision = *Number;
    Command.HasSinceRevision = true;
  }
  return Command;
}

} // namespace

std::string_view usage() noexcept { return Usage; }

result<command, usage_error>
parseCommandLine(const std::vector<std::string> &Arguments) {
  // The usage text defines `--version` with a value, for `delete`. docopt
  // cannot parse the same option without a value.
  if (Arguments.size() == 1 && Arguments[0] == "--version") {
    command Command;
    Command.Kind = command_kind::Version;
    return Command;
  }
  try {
    return toCommand(docopt::docopt_parse(Usage, Arguments, true, false));
  } catch (const docopt::DocoptExitHelp &) {
    return command{};
  } catch (const docopt::DocoptArgumentError &Error) {
    return usage_error{Error.what()};
  }
}

} // namespace arbutus::cli
