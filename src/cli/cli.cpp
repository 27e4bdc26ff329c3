#include "cli/cli.h"

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

int status(exit_code Code) noexcept { return static_cast<int>(Code); }

int runWithSettings(const command &Command, const settings_function &Serve,
                    const settings_function &Initialize) {
  const auto Settings = settings::readSettings(Command.File);
  if (Settings.has_error()) {
    std::cerr << settings::formatErrors(Settings.error());
    return status(exit_code::Invalid);
  }
  if (Command.Kind == command_kind::Check) {
    std::cout << Command.File << ": ok\n";
    return status(exit_code::Ok);
  }
  const auto &Function =
      Command.Kind == command_kind::Serve ? Serve : Initialize;
  if (!Function) {
    std::cerr << "arbutustack: this command is not available\n";
    return status(exit_code::Usage);
  }
  return Function(Settings.value());
}

int runOperator(const command &Command) {
  std::string Key;
  if (!Command.OperatorKeyFile.empty()) {
    auto Read = settings::readKeyFile(Command.OperatorKeyFile);
    if (Read.has_error()) {
      std::cerr << Command.OperatorKeyFile << " "
                << settings::errorMessage(Read.error()) << "\n";
      return status(exit_code::Invalid);
    }
    Key = std::move(Read).value();
  }
  api_client Client(Command.Servers, curlTransport(Key), [] {
    std::this_thread::sleep_for(std::chrono::seconds(1));
  });
  return status(runOperatorCommand(Command, Client, {std::cout, std::cerr}));
}

int runExplain(const command &Command) {
  std::vector<std::ifstream> Files;
  std::vector<std::istream *> Logs;
  Files.reserve(Command.LogFiles.size());
  for (const auto &Name : Command.LogFiles) {
    if (Name == "-") {
      Logs.push_back(&std::cin);
      continue;
    }
    Files.emplace_back(Name);
    if (!Files.back()) {
      std::cerr << "arbutustack: cannot read " << Name << "\n";
      return status(exit_code::Invalid);
    }
    Logs.push_back(&Files.back());
  }
  const auto Story = gatherStory(Logs, Command.RequestId);
  printStory(Story, Command.RequestId, std::cout);
  return status(Story.Lines.empty() ? exit_code::Refused : exit_code::Ok);
}

} // namespace

int run(int Argc, const char *const *Argv, const settings_function &Serve,
        const settings_function &Initialize) {
  const auto Parsed = parseCommandLine(
      std::vector<std::string>(Argv + std::min(1, Argc), Argv + Argc));
  if (Parsed.has_error()) {
    std::cerr << "arbutustack: " << Parsed.error().Reason << "\n"
              << "Try `arbutustack --help`.\n";
    return status(exit_code::Usage);
  }
  const auto &Command = Parsed.value();
  switch (Command.Kind) {
  case command_kind::Help:
    std::cout << usage();
    return status(exit_code::Ok);
  case command_kind::Version:
    std::cout << "arbutustack " << ARBUTUS_VERSION << "\n";
    return status(exit_code::Ok);
  case command_kind::Init:
  case command_kind::Serve:
  case command_kind::Check:
    return runWithSettings(Command, Serve, Initialize);
  case command_kind::Explain:
    return runExplain(Command);
  default:
    return runOperator(Command);
  }
}

} // namespace arbutus::cli
