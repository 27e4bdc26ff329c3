#include "heap_meter.h"
#include "net/http_server.h"
#include "net/loopback.h"
#include <catch2/catch.hpp>

#include <memory>

using namespace arbutus;

namespace {

/// A text that doubles its size holds less than three times its bytes at once.
constexpr std::size_t MaxHeldPerByte = 3;
/// Headers of blocks and other small things.
constexpr std::size_t Slack = 4096;

} // namespace

// Guards against a stream of tiny events whose caller does not read: each event
// took over 200 bytes, of which three were counted.
TEST_CASE("the memory of a stream is in proportion to its unsent bytes") {
  asio::io_context Io;
  const auto Port = tests::freePort();
  net::body_memory Bodies(std::size_t{1} << 20U);
  std::shared_ptr<net::http_exchange> Stream;
  net::http_server Server(Io, tests::optionsFor(Port), Bodies,
                          [&](const auto &Exchange) {
                            Stream = Exchange;
                            Stream->beginStream(200, {});
                          });
  const int Caller = tests::connectTo(Port);
  tests::ask(Caller);
  while (!Stream) {
    Io.run_one();
  }
  const auto Heap = tests::heapUse([&] {
    // Without a turn of the event loop, as if the caller took nothing.
    while (Stream->unsentBytes() <= net::MaxUnsentBytes) {
      Stream->writeChunk("a\n\n");
    }
  });
  CHECK(Heap.Peak <= MaxHeldPerByte * net::MaxUnsentBytes + Slack);
  Stream->abort();
  close(Caller);
}
