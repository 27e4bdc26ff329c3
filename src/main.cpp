#include "control/server.h"
#include "control/voter.h"
#include "settings/settings.h"

#include <cstdio>
#include <cstring>

// Replaced by the command line module.
int main(int Argc, char **Argv) {
  if (Argc < 4) {
    return 2;
  }
  const auto Settings = arbutus::settings::readSettings(Argv[3]);
  if (Settings.has_error()) {
    std::fputs("settings invalid\n", stderr);
    return 3;
  }
  if (std::strcmp(Argv[1], "init") == 0) {
    return arbutus::control::initializeVoter(Settings.value()).has_error() ? 1
                                                                           : 0;
  }
  return arbutus::control::runServer(Settings.value());
}
