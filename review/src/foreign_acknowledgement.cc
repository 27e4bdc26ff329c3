// A machine that was restarted takes the late answer to an order of its earlier
// process for the answer to an order of its own. The operator gets an
// acknowledgement for a configuration that nobody has stored.
#include "support.hh"

#include <csignal>
#include <iostream>
#include <optional>

using namespace review;

namespace {

constexpr std::size_t CoreMachines = 3;
/// Each round uses another machine without a disk.
constexpr std::size_t Rounds = 3;
constexpr int OrdersInProgress = 8;
constexpr std::int64_t PauseMs = 5000;
/// The order of the new process is sent so that it waits at that machine when
/// the paused machines go on.
constexpr std::int64_t OrderAfterMs = 4350;
/// Longer than `config_apply_ms` and `contact_window_ms` together.
constexpr std::int64_t ReadAfterMs = 6000;

std::string configuration(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"lookup","host":"shop.example",)"
         R"("path_prefix":"/lookup/","kind":"safe","timeout_ms":)" +
         std::to_string(2000 + Version) +
         R"(,"target_latency_ms":300,"priority":1,"service":"shop",)"
         R"("max_attempts":2,"public":false,"sticky":false,)"
         R"("resumable":false}],"services":[{"name":"shop",)"
         R"("health_path":"/health","max_connections":130,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"mason","api_keys":["key-of-mason"]}]})";
}

int versionOf(const std::string &Document) {
  const auto At = Document.find(R"("version":)");
  return At == std::string::npos ? 0 : std::atoi(Document.c_str() + At + 10);
}

struct deployment {
  fleet &Fleet;
  record &Record;
  std::vector<std::string> Controls;
};

/// Sends orders through a machine while no order can be committed, restarts
/// that machine, and lets the order that its new process takes wait until the
/// earlier ones are committed. Returns the number of reads that show an older
/// configuration than the acknowledged one, or nothing if it could not run.
std::optional<int> runRound(deployment &Deployment, std::size_t Forwarder,
                            int FirstVersion, bool Trouble) {
  auto &[Fleet, Record, Controls] = Deployment;
  const auto Leader = Fleet.leader();
  if (!Leader) {
    return std::nullopt;
  }
  Record.add("the leader is " + Fleet.Machines[*Leader].Name);
  const auto EachFollower = [&](int Signal) {
    for (std::size_t I = 0; I < CoreMachines; ++I) {
      if (I != *Leader) {
        Fleet.signal(I, Signal);
      }
    }
  };
  const std::int64_t PausedAt = nowMs();
  if (Trouble) {
    Record.add("both other core machines are paused");
    EachFollower(SIGSTOP);
  }
  std::vector<std::thread> Orders;
  for (int I = 0; I < OrdersInProgress; ++I) {
    Orders.emplace_back([&, I] {
      sendOrder(Record, {Controls[Forwarder]}, "PUT", "/v1/config",
                configuration(FirstVersion + I), 900);
    });
  }
  sleepMs(500);
  if (Trouble) {
    Record.add("machine " + Fleet.Machines[Forwarder].Name +
               " is killed and started again");
    Fleet.kill(Forwarder);
  }
  for (auto &Order : Orders) {
    Order.join();
  }
  if (Trouble) {
    Fleet.start(Forwarder);
  }
  std::thread Resume([&] {
    sleepMs(PausedAt + PauseMs - nowMs());
    if (Trouble) {
      Record.add("both other core machines go on");
      EachFollower(SIGCONT);
    }
  });
  sleepMs(PausedAt + OrderAfterMs - nowMs());
  const int Newest = FirstVersion + OrdersInProgress;
  const int Status = sendOrder(Record, {Controls[Forwarder]}, "PUT",
                               "/v1/config", configuration(Newest), 20'000);
  Resume.join();
  if (Status != 200) {
    return std::nullopt;
  }
  sleepMs(ReadAfterMs);
  int Older = 0;
  int Reads = 0;
  for (std::size_t Read = 0; Read < 9; ++Read) {
    const auto &At = Controls[Read % CoreMachines];
    const reply Reply =
        call(At, "GET", "/v1/config", {{"Host", "control"}}, "", 1000);
    if (Reply.Status != 200) {
      continue;
    }
    ++Reads;
    const int Version = versionOf(Reply.Answer.Body);
    Record.add(At + " reads version " + std::to_string(Version));
    if (Version < Newest) {
      ++Older;
      Record.add("CONFIG broken: version " + std::to_string(Newest) +
                 " was acknowledged, version " + std::to_string(Version) +
                 " is read back");
    }
  }
  return Reads == 0 ? std::nullopt : std::optional(Older);
}

} // namespace

int main(int, char **Arguments) {
  limitRunTime(110'000);
  const std::string Folder = Arguments[1];
  record Record(Folder + "/record.txt");
  const bool Trouble = troubleWanted();
  fleet Fleet(CoreMachines, Rounds);
  worker_entry Entry{"shop-0", "shop",
                     Fleet.freeIp(0) + ":" + std::to_string(Fleet.workerPort()),
                     "zone-a"};
  const worker Worker(Entry, [](const worker_entry &, const message &Request) {
    return makeAnswer(200,
                      {{"Attempt-Id", Request.header("Attempt-Id")},
                       {"Server-Stamp", "stamp"}},
                      "item");
  });
  const platform Platform(Fleet.freeIp(99), Fleet.platformPort(), {Entry});
  Fleet.startAll();
  std::vector<std::string> Controls;
  for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
    Controls.push_back(Fleet.control(I));
  }
  const std::vector<std::string> Core(Controls.begin(),
                                      Controls.begin() + CoreMachines);
  if (sendOrder(Record, Core, "PUT", "/v1/config", configuration(1), 20'000) !=
          200 ||
      !Fleet.waitReady(20'000)) {
    std::cout << "the deployment did not get ready\n";
    Fleet.end(CouldNotRun);
  }
  sleepMs(1000);
  deployment Deployment{Fleet, Record, Controls};
  int Broken = 0;
  int Version = 2;
  for (std::size_t Round = 0; Round < Rounds && Broken == 0; ++Round) {
    const auto Older =
        runRound(Deployment, CoreMachines + Round, Version, Trouble);
    if (!Older) {
      std::cout << "a round could not run\n";
      Fleet.end(CouldNotRun);
    }
    Broken += *Older;
    Version += OrdersInProgress + 1;
  }
  std::cout << Broken
            << " reads show an older version than the acknowledged one\n";
  Fleet.end(Broken > 0 ? RuleBroken : RuleHeld);
}
