// One worker in trouble answers streams with lines that never make an event,
// without end. Checks that the router goes on answering other callers.

#include "stand.hh"

namespace {

using namespace stand;

constexpr int Streams = 24;
constexpr int PlainCallers = 80;
constexpr auto PlainInterval = 100ms;
/// As on the sheets: `timeout_ms` and the callers' deadline of plain requests.
constexpr int PlainTimeoutMs = 2000;
constexpr int PlainDeadlineMs = 4000;
/// The rule looks at a request again this long after its route's timeout.
constexpr double SlackSeconds = 0.5;
constexpr int LeastLate = 8;
constexpr const char *WorkerInTrouble = "i-1";

std::string streamHead(const worker &Worker, const message &Request) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + Request.get("Attempt-Id") +
         "\r\nServer-Stamp: " + Worker.stamp(Request.get("Attempt-Id")) +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &Bytes) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

/// A stream of five events, as a sound worker sends it.
bool sendEvents(const worker &Worker, int Fd, const message &Request) {
  if (!sendAll(Fd, streamHead(Worker, Request))) {
    return false;
  }
  for (int I = 1; I <= 5; ++I) {
    sleepFor(20ms);
    if (!sendAll(Fd, chunk("id: " + std::to_string(I) + "\ndata: part\n\n"))) {
      return false;
    }
  }
  return sendAll(Fd, "0\r\n\r\n");
}

/// Short lines, each in a chunk of its own, until the caller closes.
void sendEndlessLines(const worker &Worker, int Fd, const message &Request) {
  std::string Lines;
  for (int I = 0; I < 1000; ++I) {
    Lines += chunk("aaaaaaa\n");
  }
  std::size_t Sent = 0;
  if (sendAll(Fd, streamHead(Worker, Request))) {
    while (sendAll(Fd, Lines)) {
      Sent += Lines.size();
    }
  }
  log().line("%s sent %zu bytes of endless lines to %s", Worker.Id.c_str(),
             Sent, Request.get("Attempt-Id").c_str());
}

struct plain_call {
  int Status = 0;
  double SentAt = 0;
  double Seconds = 0; ///< until the answer or the caller's deadline
};

int runEndlessLines(deployment &Deployment) {
  auto &Fleet = Deployment.Fleet;
  auto &Router = Fleet.Machines[3];
  for (auto &Worker : Deployment.Workers) {
    Worker->Special = [](worker &This, int Fd, const message &Request) {
      if (Request.target().rfind("/stream/", 0) != 0) {
        return false;
      }
      if (isTroubled() && This.Id == WorkerInTrouble) {
        sendEndlessLines(This, Fd, Request);
      } else {
        sendEvents(This, Fd, Request);
      }
      return true;
    };
  }
  log().line("%d streams and %d plain requests to %s; %s answers streams %s",
             Streams, PlainCallers, Router.Name.c_str(), WorkerInTrouble,
             isTroubled() ? "with lines that never end" : "soundly");
  std::vector<std::thread> Threads;
  std::vector<plain_call> Calls(PlainCallers);
  std::atomic<int> StreamsWhole = 0;
  for (int I = 0; I < Streams; ++I) {
    Threads.emplace_back([&, I] {
      const auto Answer = call(
          Router.Ip, Fleet.Ports.Front,
          requestText("GET", "/stream/chat", "stream-" + std::to_string(I)),
          13s);
      StreamsWhole += Answer.Status == 200 && Answer.Whole ? 1 : 0;
    });
  }
  for (int I = 0; I < PlainCallers; ++I) {
    Threads.emplace_back([&, I] {
      auto &Call = Calls[static_cast<std::size_t>(I)];
      Call.SentAt = elapsed();
      Call.Status =
          call(Router.Ip, Fleet.Ports.Front,
               requestText("GET", "/safe/balance", "plain-" + std::to_string(I),
                           "Deadline-Ms: " + std::to_string(PlainDeadlineMs) +
                               "\r\n"),
               std::chrono::milliseconds(PlainDeadlineMs))
              .Status;
      Call.Seconds = elapsed() - Call.SentAt;
    });
    sleepFor(PlainInterval);
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  int Late = 0;
  int Hung = 0;
  int Served = 0;
  constexpr double Timeout = PlainTimeoutMs / 1000.0;
  for (int I = 0; I < PlainCallers; ++I) {
    const auto &Call = Calls[static_cast<std::size_t>(I)];
    Served += Call.Status == 200 ? 1 : 0;
    Late += Call.Seconds > Timeout ? 1 : 0;
    Hung += Call.Seconds > Timeout + SlackSeconds ? 1 : 0;
    if (I % 5 == 0 || Call.Seconds > Timeout) {
      log().line("plain-%d sent at %.2f s: %s after %.2f s", I, Call.SentAt,
                 Call.Status == 0 ? "no answer"
                                  : std::to_string(Call.Status).c_str(),
                 Call.Seconds);
    }
  }
  log().line("streams whole: %d of %d; plain requests served: %d of %d",
             StreamsWhole.load(), Streams, Served, PlainCallers);
  log().line("plain requests unanswered at their route's timeout: %d, of these "
             "unanswered 0.5 s later: %d",
             Late, Hung);
  return Late >= LeastLate && 2 * Hung > Late ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  fleet_options Options;
  Options.PlainTimeoutMs = PlainTimeoutMs;
  return runCase(Count, Arguments, runEndlessLines, Options);
}
