#include "cli/cli.h"

#include "base/json_reader.h"
#include "cli/command_line.h"
#include "cli/explain.h"
#include "cli/operator_command.h"
#include "settings/key_file.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

namespace arbutus::cli {

namespace {

/// Memory for the values of one answer of a server or of one file.
constexpr std::size_t CommandJsonBytes = std::size_t{256} << 20U;

int exitStatus(exit_code Code) noexcept { return static_cast<int>(Code); }

int runWithSettings(const command &Command, const settings_handler &Serve,
                    const settings_handler &Initialize) {
  const auto Settings = settings::readSettings(Command.File);
  if (Settings.has_error()) {
    std::cerr << settings::formatErrors(Settings.error());
    return exitStatus(exit_code::Invalid);
  }
  if (Command.Kind == command_kind::Check) {
    std::cout << Command.File << ": ok\n";
    return exitStatus(exit_code::Ok);
  }
  const auto &Handler =
      Command.Kind == command_kind::Serve ? Serve : Initialize;
  if (!Handler) {
    std::cerr << "arbutustack: this command is not available\n";
    return exitStatus(exit_code::Usage);
  }
  return Handler(Settings.value());
}

int runAgainstServers(const command &Command) {
  setJsonMemory(CommandJsonBytes);
  std::string Key;
  if (!Command.OperatorKeyFile.empty()) {
    auto KeyFile = settings::readKeyFile(Command.OperatorKeyFile);
    if (KeyFile.has_error()) {
      std::cerr << Command.OperatorKeyFile << " "
                << settings::errorMessage(KeyFile.error()) << "\n";
      return exitStatus(exit_code::Invalid);
    }
    Key = std::move(KeyFile).value();
  }
  api_client Client(Command.Servers, curlTransport(Key), [] {
    std::this_thread::sleep_for(std::chrono::seconds(1));
  });
  return exitStatus(
      runOperatorCommand(Command, Client, {std::cout, std::cerr}));
}

int runExplain(const command &Command) {
  std::vector<std::ifstream> Files;
  std::vector<std::istream *> Logs;
  Files.reserve(Command.LogFiles.size());
  for (const auto &File : Command.LogFiles) {
    if (File == "-") {
      Logs.push_back(&std::cin);
      continue;
    }
    Files.emplace_back(File);
    if (!Files.back()) {
      std::cerr << "arbutustack: cannot read " << File << "\n";
      return exitStatus(exit_code::Invalid);
    }
    Logs.push_back(&Files.back());
  }
  const auto History = collectHistory(Logs, Command.RequestId);
  printHistory(History, Command.RequestId, std::cout);
  return exitStatus(History.Lines.empty() ? exit_code::Rejected
                                          : exit_code::Ok);
}

} // namespace

int run(int Argc, const char *const *Argv, const settings_handler &Serve,
        const settings_handler &Initialize) {
  const auto Parsed = parseCommandLine(
      std::vector<std::string>(Argv + std::min(1, Argc), Argv + Argc));
  if (Parsed.has_error()) {
    std::cerr << "arbutustack: " << Parsed.error().Reason << "\n"
              << "Try `arbutustack --help`.\n";
    return exitStatus(exit_code::Usage);
  }
  const auto &Command = Parsed.value();
  switch (Command.Kind) {
  case command_kind::Help:
    std::cout << usage();
    return exitStatus(exit_code::Ok);
  case command_kind::Version:
    std::cout << "arbutustack " << ARBUTUS_VERSION << "\n";
    return exitStatus(exit_code::Ok);
  case command_kind::Init:
  case command_kind::Serve:
  case command_kind::Check:
    return runWithSettings(Command, Serve, Initialize);
  case command_kind::Explain:
    return runExplain(Command);
  default:
    return runAgainstServers(Command);
  }
}

} // namespace arbutus::cli
