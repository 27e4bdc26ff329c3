// A worker fails part of its deposits with 503 after it has run them. The
// caller must not be told by the status that they have not run.
#include "support.hh"

#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr const char *Service = "ledger";
constexpr int Callers = 6;
constexpr int DepositsOfCaller = 60;
/// One of three workers fails this many of 100 requests that it ran, for some
/// seconds.
constexpr int FailedPercent = 45;
constexpr std::int64_t FailingMs = 6500;

struct ledger {
  std::mutex Mutex;
  std::map<std::string, int> RunsByAttempt;
  std::map<std::string, int> RunsByDeposit;
  int Arrived = 0;
  /// Time at which the worker stops failing; 0 before the first deposit.
  std::int64_t FailsUntil = 0;
};

std::string configuration() {
  return R"({"version":1,"routes":[{"name":"deposit","host":"bank.example",)"
         R"("path_prefix":"/deposit/","kind":"unsafe","timeout_ms":2000,)"
         R"("target_latency_ms":300,"priority":1,"service":"ledger",)"
         R"("max_attempts":1,"public":false,"sticky":false,)"
         R"("resumable":false}],"services":[{"name":"ledger",)"
         R"("health_path":"/health","max_connections":120,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"school","api_keys":["key-of-school"]}]})";
}

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

int main(int, char **Arguments) {
  limitRunTime(110'000);
  const std::string Folder = Arguments[1];
  record Record(Folder + "/record.txt");
  const bool Trouble = troubleWanted();
  fleet Fleet(3, 2);
  ledger Ledger;

  std::vector<std::unique_ptr<worker>> Workers;
  std::vector<worker_entry> Entries;
  for (int I = 0; I < 3; ++I) {
    const std::string Ip = Fleet.freeIp(I);
    worker_entry Entry{"ledger-" + std::to_string(I), Service,
                       Ip + ":" + std::to_string(Fleet.workerPort()),
                       std::string("zone-") + "abc"[I]};
    const bool Fails = Trouble && I == 0;
    Entries.push_back(Entry);
    Workers.push_back(std::make_unique<worker>(
        Entry, [&, Fails](const worker_entry &Self, const message &Request) {
          const std::string Attempt = Request.header("Attempt-Id");
          bool FailsThis = false;
          {
            const std::lock_guard Lock(Ledger.Mutex);
            ++Ledger.RunsByAttempt[Attempt];
            ++Ledger.RunsByDeposit[Request.Body];
            FailsThis = Fails && nowMs() < Ledger.FailsUntil &&
                        Ledger.Arrived++ * 37 % 100 < FailedPercent;
          }
          sleepMs(20);
          Record.add("worker " + Self.Id + " ran attempt " + Attempt +
                     " of deposit " + Request.Body + " and answers " +
                     (FailsThis ? "503 without Not-Executed" : "200"));
          return makeAnswer(FailsThis ? 503 : 200,
                            {{"Attempt-Id", Attempt},
                             {"Server-Stamp", "stamp-" + Attempt},
                             {"Instance-Load", "1,0,6"}},
                            FailsThis ? "" : "booked " + Request.Body);
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

  std::atomic<int> Broken = 0;
  std::atomic<int> Answered = 0;
  Ledger.FailsUntil = nowMs() + FailingMs;
  // Sends a deposit, and once more only after a promise that it has not run.
  const auto Send = [&](const std::string &Deposit, const std::string &At) {
    for (int Try = 0; Try < 2; ++Try) {
      const std::string Attempt = Deposit + "-" + std::to_string(Try);
      Record.add("caller sends attempt " + Attempt + " to " + At);
      const reply Reply = call(At, "POST", "/deposit/coins",
                               {{"Host", "bank.example"},
                                {"Attempt-Id", Attempt},
                                {"Deadline-Ms", "4000"},
                                {"Authorization", "Bearer key-of-school"}},
                               Deposit, 4000);
      Record.add("caller gets " + std::to_string(Reply.Status) +
                 " for attempt " + Attempt);
      if (!promisesNotRun(Reply.Status)) {
        Answered += Reply.Status == 200 ? 1 : 0;
        return;
      }
      const std::lock_guard Lock(Ledger.Mutex);
      if (Ledger.RunsByAttempt.contains(Attempt)) {
        ++Broken;
        Record.add("REFUSED broken: attempt " + Attempt + " was answered " +
                   std::to_string(Reply.Status) + " and has run");
      }
    }
  };
  std::vector<std::thread> Threads;
  for (int Caller = 0; Caller < Callers; ++Caller) {
    Threads.emplace_back([&, Caller] {
      for (int Number = 0; Number < DepositsOfCaller; ++Number) {
        const auto Machine =
            static_cast<std::size_t>(Caller + Number) % Controls.size();
        Send("d" + std::to_string(Caller) + "." + std::to_string(Number),
             Fleet.front(Machine));
        sleepMs(50);
      }
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  int Twice = 0;
  {
    const std::lock_guard Lock(Ledger.Mutex);
    for (const auto &[Deposit, Runs] : Ledger.RunsByDeposit) {
      Twice += Runs > 1 ? 1 : 0;
    }
  }
  const std::string Summary =
      std::to_string(Callers * DepositsOfCaller) + " deposits, " +
      std::to_string(Answered.load()) + " answered with 200, " +
      std::to_string(Broken.load()) + " attempts refused although they ran, " +
      std::to_string(Twice) +
      " deposits booked twice by a caller that retried after the promise";
  Record.add(Summary);
  std::cout << Summary << "\n";
  if (Answered < Callers * DepositsOfCaller / 2) {
    Fleet.end(CouldNotRun);
  }
  Fleet.end(Broken > 0 ? RuleBroken : RuleHeld);
}
