#include "net/http_server.h"
#include "net/loopback.h"
#include <catch2/catch.hpp>

#include <charconv>
#include <memory>
#include <string>
#include <vector>

using namespace arbutus::net;
using namespace arbutus::tests;

namespace {

/// A server that leaves the answer to the test, and a caller that asks it.
struct streamed_answer {
  streamed_answer()
      : Port(freePort()), Bodies(std::size_t{1} << 20U),
        Server(Io, optionsFor(Port), Bodies,
               [this](const auto &Exchange) {
                 Stream = Exchange;
                 Stream->beginStream(200, {});
               }),
        Caller(connectTo(Port)) {
    ask(Caller);
    while (!Stream) {
      Io.run_one();
    }
  }
  streamed_answer(const streamed_answer &) = delete;
  streamed_answer &operator=(const streamed_answer &) = delete;
  ~streamed_answer() { close(Caller); }

  /// Runs the event loop until the answer ends with these bytes or the
  /// connection ends. Returns what the caller has read.
  std::string readUntil(std::string_view End) {
    std::string Text;
    const auto Deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(60);
    std::vector<char> Bytes(std::size_t{64} << 10U);
    while (!Text.ends_with(End) &&
           std::chrono::steady_clock::now() < Deadline) {
      Io.run_for(std::chrono::milliseconds(1));
      const auto Count = recv(Caller, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
      if (Count == 0) {
        break;
      }
      if (Count > 0) {
        Text.append(Bytes.data(), static_cast<std::size_t>(Count));
      }
    }
    return Text;
  }

  asio::io_context Io;
  std::uint16_t Port;
  body_memory Bodies;
  std::shared_ptr<http_exchange> Stream;
  http_server Server;
  int Caller;
};

/// Body of a chunked answer, and how many chunks it came in.
struct chunked_body {
  std::string Bytes;
  std::size_t Chunks = 0;
};

chunked_body bodyOf(std::string_view Answer) {
  chunked_body Body;
  Answer.remove_prefix(Answer.find("\r\n\r\n") + 4);
  for (;;) {
    std::size_t Size = 0;
    const char *End = Answer.data() + Answer.size();
    std::from_chars(Answer.data(), End, Size, 16);
    Answer.remove_prefix(Answer.find("\r\n") + 2);
    if (Size == 0) {
      return Body;
    }
    Body.Bytes += Answer.substr(0, Size);
    Answer.remove_prefix(Size + 2);
    ++Body.Chunks;
  }
}

constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";

} // namespace

// Guards against a router that keeps and writes each tiny event of an upstream
// by itself: the work for one grew with those that waited before it, and an
// upstream that sent them without end held the event loop.
TEST_CASE("small chunks that wait are written as few large ones") {
  constexpr std::size_t Events = 20'000;
  constexpr std::size_t WriteBytes = std::size_t{16} << 10U;
  streamed_answer Answer;
  std::string Expected;
  for (std::size_t I = 0; I < Events; ++I) {
    const std::string Event = std::to_string(I % 10) + "\n\n";
    Expected += Event;
    Answer.Stream->writeChunk(Event);
  }
  CHECK(Answer.Stream->unsentBytes() == Expected.size());
  Answer.Stream->endStream();
  const auto Body = bodyOf(Answer.readUntil(LastChunk));
  CHECK(Body.Bytes == Expected);
  // The first event is on its way when the second one comes.
  CHECK(Body.Chunks <= 1 + Expected.size() / WriteBytes + 1);
}

// Guards against an event that waits for later ones though its caller has read
// all before it.
TEST_CASE("an event is written at once while nothing waits before it") {
  streamed_answer Answer;
  for (int I = 0; I < 100; ++I) {
    const std::string Event = "id: " + std::to_string(I) + "\n\n";
    Answer.Stream->writeChunk(Event);
    const auto Text = Answer.readUntil(Event + "\r\n");
    REQUIRE(Text.ends_with(Event + "\r\n"));
    REQUIRE(Answer.Stream->unsentBytes() == 0);
  }
}

// Guards against bytes that are lost when a stream ends behind a write that is
// still running, or that are sent after it was broken off.
TEST_CASE("what waits is sent before the end and not after a break") {
  for (const bool IsBroken : {false, true}) {
    CAPTURE(IsBroken);
    streamed_answer Answer;
    Answer.Stream->writeChunk("first");
    Answer.Stream->writeChunk("second");
    if (IsBroken) {
      Answer.Stream->abort();
    } else {
      Answer.Stream->endStream();
    }
    Answer.Stream->writeChunk("third");
    const auto Text = Answer.readUntil(LastChunk);
    if (IsBroken) {
      CHECK(Text.find("second") == std::string::npos);
    } else {
      REQUIRE(Text.ends_with(LastChunk));
      CHECK(bodyOf(Text).Bytes == "firstsecond");
    }
  }
}
