#include "cli/cli.h"
#include "control/server.h"
#include "control/voter.h"
#include "platform/platform.h"

#include <iostream>

namespace {

int initialize(const arbutus::settings::settings &Settings) {
  const auto Created = arbutus::control::initializeVoterDirectory(Settings);
  if (Created.has_error()) {
    const auto &Error = Created.error();
    std::cerr << "arbutustack: " << arbutus::nameOf(Error.Code) << ": "
              << Error.File << " " << Error.Detail << "\n";
    return 1;
  }
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Serve = [](const arbutus::settings::settings &Settings) {
    return arbutus::control::runServer(Settings,
                                       &arbutus::platform::platformAdapter());
  };
  return arbutus::cli::run(Argc, Argv, Serve, initialize);
}
