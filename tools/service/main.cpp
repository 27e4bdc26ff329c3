#include "common/flags.h"
#include "service_api.h"

#include <cstdio>

namespace {

using namespace arbutus::tools;

constexpr const char *Usage = R"(Stand-in for a plain service.

Usage: tool_service --port=PORT --kind=KIND [options]

Options:
  --port=PORT                      Port on 127.0.0.1.
  --kind=KIND                      ledger or shop.
  --record=FILE                    Append-only record of executions.
  --seed=N                         Seed of the fault draws. [default: 0]
  --work-ms=MS                     Time per request. [default: 1]
  --slots=N                        Requests worked on together. [default: 64]
  --load-lag-ms=MS                 Lag of load reports. [default: 0]
  --close-after-execute-percent=P  Executes, then closes. [default: 0]
  --delay-answer-ms=MS             Delays the answer. [default: 0]
  --fail-percent=P                 503 before executing. [default: 0]
)";

} // namespace

int main(int Count, char **Arguments) {
  const flags Flags(Usage, Count, Arguments);
  service_options Options;
  Options.Kind = Flags.choice("--kind", {"ledger", "shop"}) == 0
                     ? service_kind::Ledger
                     : service_kind::Shop;
  Options.Port = Flags.port("--port");
  Options.Seed = static_cast<std::uint64_t>(Flags.integer("--seed"));
  Options.Record = Flags.text("--record");
  Options.WorkTime = Flags.millis("--work-ms");
  Options.Slots = static_cast<int>(Flags.integer("--slots"));
  Options.LoadLag = Flags.millis("--load-lag-ms");
  Options.Faults = {Flags.integer("--close-after-execute-percent"),
                    Flags.integer("--delay-answer-ms"),
                    Flags.integer("--fail-percent")};
  http_server Server(Options.Port);
  service_api Api(Server, Options);
  if (!Api.valid()) {
    std::fprintf(stderr, "cannot open %s\n", Options.Record.c_str());
    return 1;
  }
  return Server.run([&Api](const auto &Request, const auto &Exchange) {
    Api.handle(Request, Exchange);
  });
}
