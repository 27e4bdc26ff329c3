#include "common/flags.h"
#include "engine_api.h"

#include <cstdio>

namespace {

using namespace arbutus::tools;

constexpr const char *Usage = R"(Stand-in for a model engine.

Usage: tool_engine --port=PORT [options]

Options:
  --port=PORT              Port on 127.0.0.1.
  --seed=N                 Seed of the fault draws. [default: 0]
  --models=LIST            Loaded models, by comma; without it any.
  --slots=N                Requests at full speed. [default: 8]
  --token-ms=MS            Time per token up to the slots. [default: 20]
  --first-token-ms=MS      First-token time of a fully cached prompt. [default: 20]
  --prefill-us=US          Added per prompt token not cached. [default: 100]
  --fall-over=N            Falls over beyond N running; 0 never. [default: 0]
  --fall-over-seconds=S    Time of 503 answers after that. [default: 5]
  --cold-slots=N           What it bears while cold. [default: 2]
  --cold-first-token=N     First-token factor while cold. [default: 4]
  --warm-requests=N        Warm after N completed; 0 off. [default: 20]
  --warm-seconds=S         Warm after this time; 0 off. [default: 10]
  --start-warm             Starts warm.
  --cache-entries=N        Blocks in the prefix cache. [default: 4096]
  --cache-lag-ms=MS        Lag of cache events. [default: 0]
  --cache-gap-percent=P    Cache events that are missing. [default: 0]
  --load-lag-ms=MS         Lag of load reports. [default: 0]
  --resume-seconds=S       Time a broken stream can resume. [default: 10]
  --load-model-ms=MS       Time to load a model. [default: 1000]
  --faults=LIST            First faults, KIND=VALUE, by comma.
  --fencing=MODE           check or ignore. [default: check]
)";

engine_options readOptions(const flags &Flags) {
  engine_options Options;
  Options.Seed = static_cast<std::uint64_t>(Flags.integer("--seed"));
  Options.Models = Flags.list("--models");
  Options.Slots = static_cast<int>(Flags.integer("--slots"));
  Options.ColdSlots = static_cast<int>(Flags.integer("--cold-slots"));
  Options.FallOver = static_cast<int>(Flags.integer("--fall-over"));
  Options.FallOverTime = Flags.seconds("--fall-over-seconds");
  Options.TokenTime = Flags.millis("--token-ms");
  Options.FirstTokenTime = Flags.millis("--first-token-ms");
  Options.PrefillTokenTime = arbutus::duration(Flags.integer("--prefill-us"));
  Options.ColdFirstTokenFactor =
      static_cast<int>(Flags.integer("--cold-first-token"));
  Options.CacheBlocks =
      static_cast<std::size_t>(Flags.integer("--cache-entries"));
  Options.Warming = {Flags.integer("--warm-requests"),
                     Flags.seconds("--warm-seconds")};
  Options.StartWarm = Flags.given("--start-warm");
  Options.ResumeTime = Flags.seconds("--resume-seconds");
  Options.LoadModelTime = Flags.millis("--load-model-ms");
  Options.CheckFencing = Flags.choice("--fencing", {"check", "ignore"}) == 0;
  return Options;
}

} // namespace

int main(int Count, char **Arguments) {
  const flags Flags(Usage, Count, Arguments);
  const auto Options = readOptions(Flags);
  http_server Server(Flags.port("--port"));
  engine_api Api(Server, Options,
                 {Flags.millis("--load-lag-ms"), Flags.millis("--cache-lag-ms"),
                  Flags.percent("--cache-gap-percent")});
  for (const auto &Item : Flags.list("--faults")) {
    if (!Api.setFault(Item)) {
      std::fprintf(stderr, "--faults: '%s' is not KIND=VALUE\n", Item.c_str());
      return 2;
    }
  }
  return Server.run([&Api](const auto &Request, const auto &Exchange) {
    Api.handle(Request, Exchange);
  });
}
