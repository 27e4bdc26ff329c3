#include "common/flags.h"
#include "load_worker.h"
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace {

using namespace arbutus;
using namespace arbutus::tools;

constexpr const char *Usage = R"(Load generator.

Usage:
  tool_load --profile=FILE --targets=LIST [options]
  tool_load --profile=FILE --ask=LIST [options]

Options:
  --profile=FILE           Teams in JSON.
  --targets=LIST           Addresses, by comma, drawn by each team's shares.
  --ask=LIST               Addresses to ask for /v1/addresses, by comma.
  --seed=N                 Seed of arrivals and requests. [default: 0]
  --seconds=S              Length of the load. [default: 10]
  --drain-seconds=S        Wait for open requests after it. [default: 30]
  --threads=N              Event threads. [default: 2]
  --max-in-flight=N        Requests in flight per thread. [default: 4000]
  --resend-percent=P       POSTs with a key that are sent again. [default: 0]
  --resend-other-router    Resends go to another address.
  --retry-not-run=N        Attempts after outcome not_run. [default: 0]
  --run-id=TEXT            Start of all ids and keys; by default the time.
  --series=FILE            Cost and requests in flight per 100 ms.
  --refs=FILE              What was answered per ref of a POST.
  --check-executions=LIST  Services whose /admin/executions are compared.
)";

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Executions per ref over all services.
std::map<std::string, int>
fetchExecutions(const std::vector<std::string> &Services) {
  std::map<std::string, int> Result;
  curl_loop Loop;
  std::size_t Open = Services.size();
  for (const auto &Service : Services) {
    auto Call = std::make_unique<http_call>();
    auto Body = std::make_shared<std::string>();
    Call->Url = "http://" + Service + "/admin/executions";
    Call->OnHeader = [](std::string_view) {};
    Call->OnBody = [Body](std::string_view Bytes, int) { Body->append(Bytes); };
    Call->OnDone = [&Result, &Open, Body](int, CURLcode) {
      --Open;
      const auto Answer = nlohmann::json::parse(*Body, nullptr, false);
      if (Answer.is_object()) {
        for (const auto &Row : Answer.at("executions")) {
          ++Result[Row.at("ref").get<std::string>()];
        }
      }
    };
    Loop.start(std::move(Call));
  }
  Loop.run([&Open] { return Open == 0; });
  return Result;
}

load_options readOptions(const flags &Flags) {
  load_options Options;
  auto Teams = parseProfile(readFile(Flags.text("--profile")));
  if (!Teams) {
    std::fprintf(stderr, "%s: %s\n", Flags.text("--profile").c_str(),
                 Teams.error().Message.c_str());
    std::exit(2);
  }
  Options.Teams = std::move(Teams.value());
  Options.Targets = Flags.list("--targets");
  Options.Ask = Flags.list("--ask");
  if (Options.Targets.empty() && Options.Ask.empty()) {
    std::fprintf(stderr, "no target\n");
    std::exit(2);
  }
  Options.Seed = static_cast<std::uint64_t>(Flags.integer("--seed"));
  Options.Length = Flags.seconds("--seconds");
  Options.Drain = Flags.seconds("--drain-seconds");
  Options.Threads =
      static_cast<int>(std::max<std::int64_t>(1, Flags.integer("--threads")));
  Options.MostInFlight =
      static_cast<std::size_t>(Flags.integer("--max-in-flight"));
  Options.ResendPercent = Flags.percent("--resend-percent");
  Options.ResendOtherRouter = Flags.given("--resend-other-router");
  Options.RetryNotRun = static_cast<int>(Flags.integer("--retry-not-run"));
  Options.RunId = Flags.given("--run-id") ? Flags.text("--run-id")
                                          : std::to_string(wallClockMillis());
  return Options;
}

} // namespace

int main(int Count, char **Arguments) {
  const flags Flags(Usage, Count, Arguments);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto Options = readOptions(Flags);
  const auto Start = monotonic_clock::now();
  std::vector<std::unique_ptr<load_worker>> Workers;
  Workers.reserve(static_cast<std::size_t>(Options.Threads));
  for (int Thread = 0; Thread < Options.Threads; ++Thread) {
    Workers.push_back(std::make_unique<load_worker>(Options, Thread, Start));
  }
  std::vector<std::thread> Threads;
  Threads.reserve(Workers.size());
  for (auto &Worker : Workers) {
    Threads.emplace_back([&Worker] { Worker->run(); });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }

  std::vector<std::string> Names;
  nlohmann::json Teams = nlohmann::json::object();
  load_stats Total;
  for (std::size_t Team = 0; Team < Options.Teams.size(); ++Team) {
    load_stats Sum;
    for (const auto &Worker : Workers) {
      Sum.merge(Worker->stats()[Team]);
    }
    Names.push_back(Options.Teams[Team].Name);
    Teams[Names.back()] = Sum.json();
    Total.merge(Sum);
  }
  load_series Series(Names.size(), Start);
  post_ledger Posts;
  for (const auto &Worker : Workers) {
    Series.merge(Worker->series());
    Posts.merge(Worker->posts());
  }
  nlohmann::json Report{{"seconds", toSeconds(Options.Length)},
                        {"seed", Options.Seed},
                        {"run_id", Options.RunId},
                        {"teams", std::move(Teams)},
                        {"total", Total.json()}};
  if (const auto Services = Flags.list("--check-executions");
      !Services.empty()) {
    Report["executions"] = Posts.compare(fetchExecutions(Services));
  }
  if (Flags.given("--series")) {
    std::ofstream(Flags.text("--series")) << Series.json(Names).dump() << "\n";
  }
  if (Flags.given("--refs")) {
    std::ofstream(Flags.text("--refs")) << Posts.lines();
  }
  std::printf("%s\n", Report.dump().c_str());
  Workers.clear();
  curl_global_cleanup();
  return 0;
}
