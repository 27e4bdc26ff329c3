#include "control/instance_poller.h"
#include "platform/platform.h"
#include "platform/scripted_upstream.h"
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::control;
using platform::testing::scripted_reply;
using platform::testing::scripted_upstream;
using after = scripted_reply::after;

namespace {

const std::string List =
    R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"a",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"id":"i-1"}],)"
    R"("next":null})";

/// The number of instances of the first poll that ends, or nothing if its
/// server counts as unavailable.
std::optional<std::size_t> pollOnce(const scripted_reply &Reply) {
  asio::io_context Io;
  scripted_upstream Server(Io, [&](const auto &) { return Reply; });
  settings::discovery_settings Settings;
  Settings.Server = *settings::parseEndpoint(Server.address());
  Settings.PollInterval = std::chrono::milliseconds(1);
  std::optional<std::size_t> Found;
  bool Ended = false;
  const auto Adapter = platform::platformAdapter();
  instance_poller Poller(
      Io, Settings, Adapter, [] { return true; },
      [&](const instance_list &Result) {
        Found = Result.Instances.size();
        Ended = true;
      },
      [&] { Ended = true; });
  Poller.start();
  while (!Ended) {
    Io.run_one();
  }
  return Found;
}

} // namespace

// Guards against a list that is taken from bytes that are no answer: upstreams
// that are missing in it would be given up, and others would get requests.
TEST_CASE("a broken answer is no list of instances") {
  struct row {
    std::string What;
    std::string StatusLine;
    std::string Field;
    after After;
    bool Sound;
  };
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Length =
      "Content-Length: " + std::to_string(List.size()) + "\r\n";
  const std::vector<row> Rows = {
      {"sound", Ok, Length, after::Keep, true},
      {"sound, no length", Ok, "", after::Close, true},
      {"status 000", "HTTP/1.1 000 X\r\n", Length, after::Close, false},
      {"status 999", "HTTP/1.1 999 X\r\n", Length, after::Close, false},
      {"a blank in a name", Ok, "My Name: a\r\n" + Length, after::Close, false},
      {"a control byte in a name", Ok, "A\x01: a\r\n" + Length, after::Close,
       false},
      {"no length, reset", Ok, "", after::ResetLater, false},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    const auto Found =
        pollOnce({Row.StatusLine + Row.Field + "\r\n" + List, Row.After});
    CHECK(Found.has_value() == Row.Sound);
    CHECK(Found.value_or(1) == 1);
  }
}
