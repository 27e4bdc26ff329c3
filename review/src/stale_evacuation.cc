// An order that was waiting at a paused machine is carried out after a newer,
// acknowledged order on the same zone. The zone is then in use although the
// newest acknowledged order evacuated it.
#include "support.hh"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr const char *Zone = "zone-a";
constexpr std::int64_t EvacuationBoundMs = 5000; ///< `evac_ms`
constexpr std::int64_t PauseMs = 4000;
constexpr std::size_t PausedMachine = 5;

std::string configuration() {
  return R"({"version":1,"routes":[{"name":"lookup","host":"shop.example",)"
         R"("path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,)"
         R"("target_latency_ms":300,"priority":1,"service":"shop",)"
         R"("max_attempts":2,"public":false,"sticky":false,)"
         R"("resumable":false}],"services":[{"name":"shop",)"
         R"("health_path":"/health","max_connections":130,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"mason","api_keys":["key-of-mason"]}]})";
}

} // namespace

int main(int, char **Arguments) {
  limitRunTime(110'000);
  const std::string Folder = Arguments[1];
  record Record(Folder + "/record.txt");
  const bool Trouble = troubleWanted();
  fleet Fleet(3, 3);

  // Time from which on no request may reach the zone; 0 while it is in use.
  std::atomic<std::int64_t> ForbiddenFrom = 0;
  std::atomic<int> Late = 0;
  std::atomic<int> InZone = 0;
  std::vector<std::unique_ptr<worker>> Workers;
  std::vector<worker_entry> Entries;
  for (int I = 0; I < 3; ++I) {
    worker_entry Entry{"shop-" + std::to_string(I), "shop",
                       Fleet.freeIp(I) + ":" +
                           std::to_string(Fleet.workerPort()),
                       std::string("zone-") + "abc"[I]};
    Entries.push_back(Entry);
    Workers.push_back(std::make_unique<worker>(
        Entry, [&](const worker_entry &Self, const message &Request) {
          const std::string Attempt = Request.header("Attempt-Id");
          Record.add("worker " + Self.Id + " in " + Self.Zone + " runs " +
                     Attempt);
          if (Self.Zone == Zone) {
            ++InZone;
            const std::int64_t From = ForbiddenFrom.load();
            if (From != 0 && nowMs() > From) {
              ++Late;
              Record.add("EVAC broken: " + Attempt + " reaches " + Self.Id +
                         " " + std::to_string(nowMs() - From) +
                         " ms after the bound");
            }
          }
          sleepMs(5);
          return makeAnswer(200,
                            {{"Attempt-Id", Attempt},
                             {"Server-Stamp", "stamp-" + Attempt},
                             {"Instance-Load", "1,0,6"}},
                            "item");
        }));
  }
  const platform Platform(Fleet.freeIp(99), Fleet.platformPort(), Entries);
  Fleet.startAll();
  std::vector<std::string> Controls;
  for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
    Controls.push_back(Fleet.control(I));
  }
  if (sendOrder(Record, Controls, "PUT", "/v1/config", configuration(),
                20'000) != 200 ||
      !Fleet.waitReady(20'000)) {
    std::cout << "the deployment did not get ready\n";
    Fleet.end(CouldNotRun);
  }

  // Callers use the machines that run all the time.
  std::atomic<bool> Stop = false;
  std::atomic<int> Served = 0;
  std::thread Caller([&] {
    for (int Number = 0; !Stop; ++Number) {
      const std::string Attempt = "r" + std::to_string(Number);
      const auto Machine = static_cast<std::size_t>(Number) % PausedMachine;
      const reply Reply = call(Fleet.front(Machine), "GET", "/lookup/item",
                               {{"Host", "shop.example"},
                                {"Attempt-Id", Attempt},
                                {"Deadline-Ms", "2000"},
                                {"Authorization", "Bearer key-of-mason"}},
                               "", 2000);
      Record.add("caller gets " + std::to_string(Reply.Status) + " for " +
                 Attempt + " from " + Fleet.Machines[Machine].Name);
      Served += Reply.Status == 200 ? 1 : 0;
      sleepMs(25);
    }
  });
  const auto Finish = [&](int Code) {
    Stop = true;
    Caller.join();
    std::cout << Served << " requests served, " << InZone << " of them in "
              << Zone << ", " << Late
              << " reached it later than the bound after the evacuation\n";
    Fleet.end(Code);
  };

  const std::string Target = std::string("/v1/evacuations/") + Zone;
  const std::vector<std::string> Others(Controls.begin(),
                                        Controls.begin() + PausedMachine);
  std::vector<std::string> PausedFirst = {Controls[PausedMachine]};
  PausedFirst.insert(PausedFirst.end(), Others.begin(), Others.end());

  sleepMs(2000);
  if (sendOrder(Record, Others, "POST", Target, "", 5000) != 200) {
    Finish(CouldNotRun);
  }
  sleepMs(3000);
  const std::int64_t PausedAt = nowMs();
  if (Trouble) {
    Record.add("machine " + Fleet.Machines[PausedMachine].Name + " is paused");
    Fleet.signal(PausedMachine, SIGSTOP);
  }
  if (sendOrder(Record, PausedFirst, "DELETE", Target, "", 5000) != 200 ||
      sendOrder(Record, Others, "POST", Target, "", 5000) != 200) {
    Finish(CouldNotRun);
  }
  ForbiddenFrom = nowMs() + EvacuationBoundMs;
  Record.add("the evacuation of " + std::string(Zone) + " is acknowledged");
  sleepMs(PausedAt + PauseMs - nowMs());
  if (Trouble) {
    Record.add("machine " + Fleet.Machines[PausedMachine].Name + " goes on");
    Fleet.signal(PausedMachine, SIGCONT);
  }
  sleepMs(ForbiddenFrom + 6000 - nowMs());
  if (Served < 100 || InZone == 0) {
    Finish(CouldNotRun);
  }
  Finish(Late > 0 ? RuleBroken : RuleHeld);
}
