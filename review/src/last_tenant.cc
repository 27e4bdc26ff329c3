// The operator takes the last keys away. Requests with these keys, and with
// keys that no configuration ever held, must not run any more.
#include "support.hh"

#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr std::int64_t RevokeBoundMs = 5000; ///< `revoke_ms`
constexpr const char *HeldKey = "key-of-mason";
constexpr const char *UnknownKey = "key-of-nobody";

std::string configuration(int Version, const std::string &Tenants) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"lookup","host":"shop.example",)"
         R"("path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,)"
         R"("target_latency_ms":300,"priority":1,"service":"shop",)"
         R"("max_attempts":2,"public":false,"sticky":false,)"
         R"("resumable":false}],"services":[{"name":"shop",)"
         R"("health_path":"/health","max_connections":130,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":)" +
         Tenants + "}";
}

struct shop {
  std::mutex Mutex;
  std::set<std::string> Run;
};

} // namespace

int main(int, char **Arguments) {
  limitRunTime(110'000);
  const std::string Folder = Arguments[1];
  record Record(Folder + "/record.txt");
  const bool Trouble = troubleWanted();
  fleet Fleet(3, 2);
  shop Shop;
  worker_entry Entry{"shop-0", "shop",
                     Fleet.freeIp(0) + ":" + std::to_string(Fleet.workerPort()),
                     "zone-a"};
  const worker Worker(Entry, [&](const worker_entry &, const message &Request) {
    const std::string Attempt = Request.header("Attempt-Id");
    Record.add("worker runs " + Attempt + " for tenant \"" +
               Request.header("Tenant") + "\"");
    {
      const std::lock_guard Lock(Shop.Mutex);
      Shop.Run.insert(Attempt);
    }
    return makeAnswer(
        200, {{"Attempt-Id", Attempt}, {"Server-Stamp", "stamp-" + Attempt}},
        "item");
  });
  const platform Platform(Fleet.freeIp(99), Fleet.platformPort(), {Entry});
  Fleet.startAll();
  std::vector<std::string> Controls;
  for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
    Controls.push_back(Fleet.control(I));
  }
  const std::string Tenants =
      R"([{"name":"mason","api_keys":[")" + std::string(HeldKey) + R"("]}])";
  if (sendOrder(Record, Controls, "PUT", "/v1/config",
                configuration(1, Tenants), 20'000) != 200 ||
      !Fleet.waitReady(20'000)) {
    std::cout << "the deployment did not get ready\n";
    Fleet.end(CouldNotRun);
  }

  int Number = 0;
  // Sends one request to each machine; returns how many ran.
  const auto SendAll = [&](const std::string &Key) {
    int Ran = 0;
    for (std::size_t I = 0; I < Fleet.Machines.size(); ++I) {
      const std::string Attempt = "r" + std::to_string(Number++);
      Record.add("caller sends " + Attempt + " with " + Key + " to " +
                 Fleet.Machines[I].Name);
      const reply Reply = call(Fleet.front(I), "GET", "/lookup/item",
                               {{"Host", "shop.example"},
                                {"Attempt-Id", Attempt},
                                {"Deadline-Ms", "2000"},
                                {"Authorization", "Bearer " + Key}},
                               "", 2000);
      Record.add("caller gets " + std::to_string(Reply.Status) + " for " +
                 Attempt);
      const std::lock_guard Lock(Shop.Mutex);
      Ran += Shop.Run.contains(Attempt) ? 1 : 0;
    }
    return Ran;
  };
  if (SendAll(HeldKey) == 0 || SendAll(UnknownKey) != 0) {
    std::cout << "keys are not checked before the change\n";
    Fleet.end(CouldNotRun);
  }
  if (sendOrder(Record, Controls, "PUT", "/v1/config",
                configuration(2, Trouble ? "[]" : Tenants), 20'000) != 200) {
    std::cout << "the change got no acknowledgement\n";
    Fleet.end(CouldNotRun);
  }
  const std::int64_t AcknowledgedAt = nowMs();
  sleepMs(RevokeBoundMs + 500);
  int HeldRan = 0;
  int UnknownRan = 0;
  for (int Round = 0; Round < 10; ++Round) {
    HeldRan += SendAll(HeldKey);
    UnknownRan += SendAll(UnknownKey);
    sleepMs(300);
  }
  const int Broken = (Trouble ? HeldRan : 0) + UnknownRan;
  if (Broken > 0) {
    Record.add("CONFIG and ROUTE broken: requests that were sent later than "
               "the bound after the acknowledgement at " +
               std::to_string(AcknowledgedAt) + " have run");
  }
  std::cout << HeldRan << " requests with the key of version 1 and "
            << UnknownRan
            << " with a key that no configuration held ran, sent later than "
            << RevokeBoundMs << " ms after version 2\n";
  Fleet.end(Broken > 0 ? RuleBroken : RuleHeld);
}
