// A router is stopped in a planned way while callers read answers slowly.
// Checks that each answer arrives whole.

#include "stand.h"

namespace {

using namespace stand;

constexpr int Readers = 6;
constexpr std::size_t AnswerBytes = 1'000'000;
/// A caller reads little for this long and then the rest at once, so that its
/// answer ends well within the 8 s of grace and the 12 s that the caller waits.
constexpr auto SlowTime = 4500ms;
constexpr std::size_t SlowBytesPerSecond = 40'000;
constexpr std::size_t BytesPerSecond = 2'000'000;
constexpr auto ReadInterval = 50ms;
constexpr auto SignalDelay = 300ms;
constexpr dial_options ReaderSocket{1400, 4096};

struct outcome {
  std::string Id;
  bool Posted = false;
  int Status = 0;
  std::size_t Body = 0;
  bool Whole = false;
  double EndedAt = 0;
};

/// Sends one request and reads its answer at the caller's pace.
void runReader(const machine &Router, int Port, outcome &Outcome) {
  const int Fd = dial(Router.Ip, Port, ReaderSocket);
  sendAll(Fd, requestText(Outcome.Posted ? "POST" : "GET",
                          Outcome.Posted ? "/unsafe/deposit" : "/safe/statement",
                          Outcome.Id,
                          "Answer-Bytes: " + std::to_string(AnswerBytes) +
                              "\r\n",
                          Outcome.Posted ? "amount=5" : ""));
  reader Reader(Fd);
  message Answer;
  if (Reader.readHead(Answer, clock::now() + 5s)) {
    Outcome.Status = Answer.status();
    Outcome.Body = Reader.Buffer.size();
    constexpr auto Turn = static_cast<std::size_t>(ReadInterval.count());
    std::string Bytes(BytesPerSecond, '\0');
    const auto SlowUntil = clock::now() + SlowTime;
    const auto Until = clock::now() + 11s;
    while (Outcome.Body < AnswerBytes && clock::now() < Until) {
      sleepFor(ReadInterval);
      const bool Slow = clock::now() < SlowUntil;
      const std::size_t PerTurn =
          (Slow ? SlowBytesPerSecond : BytesPerSecond) * Turn / 1000;
      std::size_t Got = 0;
      bool Ended = false;
      while (Got < PerTurn) {
        const auto Read =
            ::recv(Fd, Bytes.data(), PerTurn - Got, MSG_DONTWAIT);
        if (Read > 0) {
          Got += static_cast<std::size_t>(Read);
          continue;
        }
        Ended = Read == 0 || errno != EAGAIN;
        break;
      }
      Outcome.Body += Got;
      if (Ended) {
        break;
      }
    }
  }
  Outcome.Whole = Outcome.Body == AnswerBytes;
  Outcome.EndedAt = elapsed();
  ::close(Fd);
}

int runDrain(deployment &Deployment) {
  auto &Fleet = Deployment.Fleet;
  auto &Router = Fleet.Machines[3];
  std::vector<outcome> Outcomes(Readers);
  std::vector<std::thread> Threads;
  for (int I = 0; I < Readers; ++I) {
    auto &Outcome = Outcomes[static_cast<std::size_t>(I)];
    Outcome.Id = "reader-" + std::to_string(I + 1);
    Outcome.Posted = I % 2 == 1;
    Threads.emplace_back(
        [&] { runReader(Router, Fleet.Ports.Front, Outcome); });
  }
  sleepFor(SignalDelay);
  double SignalAt = 0;
  if (isTroubled()) {
    SignalAt = elapsed();
    log().line("SIGTERM to %s, grace %d s", Router.Name.c_str(),
               Fleet.Options.GraceSeconds);
    ::kill(Router.Pid, SIGTERM);
    Fleet.waitEnd(Router,
                  std::chrono::milliseconds(1000 * Fleet.Options.GraceSeconds));
    log().line("%s ended %.1f s after the signal", Router.Name.c_str(),
               elapsed() - SignalAt);
    if (Router.Pid != 0) {
      ::kill(Router.Pid, SIGKILL);
    }
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  int Lost = 0;
  for (const auto &Outcome : Outcomes) {
    const auto Ran = runs().countOf(Outcome.Id);
    log().line("%s %s: run %zu times, status %d, %zu of %zu bytes, %s at %.1f s",
               Outcome.Id.c_str(), Outcome.Posted ? "POST unsafe" : "GET safe",
               Ran, Outcome.Status, Outcome.Body, AnswerBytes,
               Outcome.Whole ? "whole" : "cut off", Outcome.EndedAt);
    Lost += Ran > 0 && !Outcome.Whole ? 1 : 0;
  }
  log().line("%d of %d requests were run and their answers cut off", Lost,
             Readers);
  return Lost > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, runDrain, {});
}
