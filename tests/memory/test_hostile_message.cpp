#include "base/codec.h"
#include "control/messages.h"
#include "heap_meter.h"
#include "store/config_update.h"
#include "traffic/slot_messages.h"
#include "vm_limits.h"
#include <catch2/catch.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

using namespace arbutus;

namespace {

constexpr std::size_t MessageBytes = (std::size_t{8} << 20U) - 64;
/// Half of the smallest VM: a message comes through the mesh, of which the
/// fleet knows all members, and stands in memory twice itself.
constexpr std::size_t MaxHeapBytes = tests::SmallestVmBytes / 2;

/// An array of as many elements as the message has room for, each the same.
std::string arrayOf(const std::string &Element, std::size_t Size) {
  const auto Count = static_cast<std::uint32_t>(Size / Element.size());
  std::string Text = "\xdd";
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Text += static_cast<char>(Count >> static_cast<unsigned>(Shift));
  }
  for (std::uint32_t I = 0; I < Count; ++I) {
    Text += Element;
  }
  return Text;
}

/// Arrays with few elements around a text, as a message has them.
std::string nestedIn(std::size_t Depth, const std::string &Inner) {
  std::string Text(Depth, '\x91');
  return Text + Inner;
}

template <class T> bool isRefused(const std::string &Bytes) {
  return decodeMessage<T>(Bytes).has_error();
}

} // namespace

// Guards against a frame of a peer that ends the process by what it is decoded
// into.
TEST_CASE("a hostile message stays within its share of memory") {
  const tests::vm_limits Limits;
  struct row {
    const char *Reader;
    std::function<bool(const std::string &)> Refuses;
  };
  const std::vector<row> Rows = {
      {"heartbeat", isRefused<control::heartbeat_message>},
      {"configuration", isRefused<store::config_update>},
      {"order", isRefused<control::api_request_message>},
      {"slots", isRefused<traffic::slot_request_message>},
      {"events", isRefused<traffic::slot_events_message>},
      {"structures", isRefused<std::vector<store::traffic_route>>},
      {"nested structures",
       isRefused<std::vector<std::vector<store::traffic_route>>>},
  };
  const std::string Elements[] = {
      "\xc0",         std::string(1, '\0'), "\x90", "\x91\x90", "\xa0", "\x80",
      "\x92\xa0\xa0", "\x93\xa0\xa0\xa0"};
  for (const auto &Row : Rows) {
    for (const auto &Element : Elements) {
      for (const std::size_t Depth : {0, 1, 3}) {
        CAPTURE(Row.Reader, Element, Depth);
        const auto Bytes = nestedIn(Depth, arrayOf(Element, MessageBytes));
        bool Refused = false;
        const auto Peak =
            tests::peakHeapBytes([&] { Refused = Row.Refuses(Bytes); });
        CHECK(Refused);
        CHECK(Peak <= MaxHeapBytes);
      }
    }
  }
  // A length that the message does not have.
  CHECK(isRefused<std::vector<int>>(std::string("\xdd\x7f\xff\xff\xff") +
                                    std::string(100'000, '\0')));
}

// Guards against a limit that stops the configuration of a large fleet.
TEST_CASE("a large configuration fits the memory for messages") {
  const tests::vm_limits Limits;
  store::traffic_route Route;
  Route.Name = "r-j6q5rmm";
  Route.Host = "ficu95.example";
  Route.PathPrefix = "/lohu930/";
  Route.Targets = {{"huvo11a", 90}, {"wuno96b", 10}};
  // The largest configuration of review/10: 39 times 350 routes.
  constexpr std::size_t Count = std::size_t{39} * 350;
  const std::vector<store::traffic_route> Routes(Count, Route);
  const auto Bytes = encode(Routes);
  CAPTURE(Bytes.size());
  CHECK(decodeMessage<std::vector<store::traffic_route>>(Bytes).has_value());
}
