#include "net/http_server.h"
#include "net/loopback.h"
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

using namespace arbutus::net;
using namespace arbutus::tests;

namespace {

void answerOk(const std::shared_ptr<http_exchange> &Exchange) {
  Exchange->respond({200, {}, "ok"});
}

/// Lowers the limit on descriptors while it lives.
struct descriptor_limit {
  descriptor_limit() { getrlimit(RLIMIT_NOFILE, &Usual); }
  descriptor_limit(const descriptor_limit &) = delete;
  descriptor_limit &operator=(const descriptor_limit &) = delete;
  ~descriptor_limit() { set(Usual.rlim_cur); }

  void set(rlim_t Count) const {
    const rlimit Limit{Count, Usual.rlim_max};
    setrlimit(RLIMIT_NOFILE, &Limit);
  }

  rlimit Usual{};
};

} // namespace

// Guards against a server that stops accepting for good when a connection
// could not be accepted for want of descriptors, as a flooded router does.
TEST_CASE("a server accepts again after descriptors ran out") {
  asio::io_context Io;
  const auto Port = freePort();
  body_memory Bodies(std::size_t{64} << 20U);
  http_server Server(Io, optionsFor(Port), Bodies, answerOk);
  const int First = connectTo(Port);
  ask(First);
  REQUIRE(answered(Io, First));
  std::vector<int> Waiting(16);
  for (int &Descriptor : Waiting) {
    Descriptor = connectTo(Port);
  }
  {
    const descriptor_limit Limit;
    // The connections wait in the kernel, and no descriptor is left for them.
    Limit.set(static_cast<rlim_t>(Waiting.back()) + 1);
    Io.run_for(std::chrono::milliseconds(300));
  }
  for (const int Descriptor : Waiting) {
    close(Descriptor);
  }
  const int Last = connectTo(Port);
  ask(Last);
  CHECK(answered(Io, Last));
  close(First);
  close(Last);
}

// Guards against a burst of new connections that waits in the kernel while a
// busy loop takes a few in each turn: callers give up before they are heard.
TEST_CASE("a burst of connections is accepted within a few turns of the loop") {
  constexpr std::size_t Burst = 256;
  constexpr std::size_t MostTurns = 16;
  asio::io_context Io;
  const auto Port = freePort();
  std::size_t Answers = 0;
  body_memory Bodies(std::size_t{64} << 20U);
  http_server Server(Io, optionsFor(Port), Bodies, [&](const auto &Exchange) {
    ++Answers;
    answerOk(Exchange);
  });
  std::vector<int> Callers;
  for (std::size_t I = 0; I < Burst; ++I) {
    Callers.push_back(connectTo(Port));
    ask(Callers.back());
  }
  // Each turn of the loop runs this once.
  std::size_t Turns = 0;
  std::function<void()> CountTurn = [&] {
    ++Turns;
    if (Answers < Burst && Turns < 100 * MostTurns) {
      asio::post(Io, CountTurn);
    }
  };
  asio::post(Io, CountTurn);
  while (Answers < Burst && Turns < 100 * MostTurns) {
    Io.run_one();
  }
  CHECK(Answers == Burst);
  CHECK(Turns <= MostTurns);
  for (const int Descriptor : Callers) {
    close(Descriptor);
  }
}

// Guards against a flooded router that reads what it cannot answer in time:
// while its loop is late, some new connections are refused at once.
TEST_CASE("new connections are shed while the loop is late") {
  struct row {
    std::chrono::milliseconds Turn;
    bool Sheds;
  };
  for (const auto &Row : {row{std::chrono::milliseconds(0), false},
                          row{std::chrono::milliseconds(60), true}}) {
    CAPTURE(Row.Turn.count());
    asio::io_context Io;
    auto Options = optionsFor(freePort());
    Options.ShedLagThreshold = std::chrono::milliseconds(30);
    body_memory Bodies(std::size_t{64} << 20U);
    http_server Server(Io, Options, Bodies, answerOk);
    bool Busy = true;
    std::function<void()> Turn = [&] {
      std::this_thread::sleep_for(Row.Turn);
      if (Busy) {
        asio::post(Io, Turn);
      }
    };
    asio::post(Io, Turn);
    std::vector<int> Callers;
    for (int I = 0; I < 20; ++I) {
      for (int J = 0; J < 4; ++J) {
        Callers.push_back(connectTo(Options.Port));
        ask(Callers.back());
      }
      Io.run_for(std::chrono::milliseconds(20));
    }
    std::size_t Refused = 0;
    for (const int Descriptor : Callers) {
      std::string Answer;
      CHECK(answered(Io, Descriptor, &Answer));
      if (Answer.starts_with("HTTP/1.1 503")) {
        ++Refused;
        CHECK(Answer.find("Retry-After: ") != std::string::npos);
      }
      close(Descriptor);
    }
    CHECK((Refused > 0) == Row.Sheds);
    CHECK(Refused < Callers.size());
    CHECK(Server.refused() == Refused); // looking for another counts nothing
    Busy = false;
  }
}

// Pattern: an upstream streams without end. Guards against a router that keeps
// what a caller does not read, and against one that ends a stream whose caller
// keeps up.
TEST_CASE("unsent bytes tell a caller that is behind from one that keeps up") {
  struct row {
    std::string What;
    bool Reads;
  };
  constexpr std::size_t ChunkBytes = std::size_t{64} << 10U;
  constexpr std::size_t Chunks = 256; // more than both sockets buffer
  for (const auto &Row :
       std::vector<row>{{"keeps up", true}, {"reads nothing", false}}) {
    CAPTURE(Row.What);
    asio::io_context Io;
    const auto Port = freePort();
    std::shared_ptr<http_exchange> Stream;
    body_memory Bodies(std::size_t{64} << 20U);
    http_server Server(Io, optionsFor(Port), Bodies, [&](const auto &Exchange) {
      if (Stream) {
        answerOk(Exchange);
        return;
      }
      Stream = Exchange;
      Stream->beginStream(200, {});
    });
    const int Caller = connectTo(Port);
    ask(Caller);
    while (!Stream) {
      Io.run_one();
    }
    std::vector<char> Bytes(2 * ChunkBytes);
    std::size_t Written = 0;
    for (; Written < Chunks && Stream->unsentBytes() <= MaxUnsentBytes;
         ++Written) {
      Stream->writeChunk(std::string(ChunkBytes, 'x'));
      const auto Deadline =
          std::chrono::steady_clock::now() + std::chrono::seconds(20);
      do {
        Io.run_for(std::chrono::milliseconds(1));
        while (Row.Reads &&
               recv(Caller, Bytes.data(), Bytes.size(), MSG_DONTWAIT) > 0) {
        }
      } while (Row.Reads && Stream->unsentBytes() > 0 &&
               std::chrono::steady_clock::now() < Deadline);
    }
    CHECK((Written == Chunks) == Row.Reads);
    CHECK(Stream->unsentBytes() <= MaxUnsentBytes + ChunkBytes);
    Stream->abort();
    const int Next = connectTo(Port);
    ask(Next);
    CHECK(answered(Io, Next));
    close(Next);
    close(Caller);
  }
}
