#include "net/mesh_frame.h"
#include "net/replay_guard.h"
#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace arbutus;
using namespace arbutus::net;

namespace {

const std::string Key = "0123456789abcdef";
constexpr node_id Self{2};
const frame_header Header{message_kind::Heartbeat, node_id{1}, Self,
                          incarnation{7}, 9};

std::string with(const std::string &Bytes, std::size_t Offset, char Value) {
  return Bytes.substr(0, Offset) + Value + Bytes.substr(Offset + 1);
}

} // namespace

// Guards against a forged, damaged or foreign frame that reaches the receiver.
TEST_CASE("parseFrame names the first fault of a frame") {
  const std::string Good = buildFrame(Header, "payload", Key);
  frame_header FromSelf = Header;
  FromSelf.Sender = Self;
  frame_header FromNobody = Header;
  FromNobody.Sender = node_id{0};
  frame_header ToOther = Header;
  ToOther.Receiver = node_id{3};
  frame_header UnknownKind = Header;
  UnknownKind.Kind = static_cast<message_kind>(200);
  struct row {
    std::string Name;
    std::string Bytes;
    mesh_drop Expected;
  };
  const std::vector<row> Rows = {
      {"empty", "", mesh_drop::Length},
      {"version only", Good.substr(0, 1), mesh_drop::Length},
      {"wrong version", with(Good, 0, 2), mesh_drop::Version},
      {"wrong version and cut", std::string("\x02", 1), mesh_drop::Version},
      {"one byte short", Good.substr(0, Good.size() - 1), mesh_drop::Length},
      {"one byte more", Good + "x", mesh_drop::Length},
      {"huge payload length",
       Good.substr(0, FrameHeaderBytes - 4) + "\xff\xff\xff\xff" +
           Good.substr(FrameHeaderBytes),
       mesh_drop::Length},
      {"over the frame limit",
       buildFrame(Header, "", Key) + std::string(LongestFrameBytes, 'x'),
       mesh_drop::Length},
      {"own number", buildFrame(FromSelf, "", Key), mesh_drop::Sender},
      {"sender 0", buildFrame(FromNobody, "", Key), mesh_drop::Sender},
      {"other key", buildFrame(Header, "", "another key of the fleet"),
       mesh_drop::Mac},
      {"other receiver", buildFrame(ToOther, "", Key), mesh_drop::Receiver},
      {"unknown kind", buildFrame(UnknownKind, "", Key), mesh_drop::Version},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Parsed = parseFrame(Row.Bytes, Self, Key);
    REQUIRE(Parsed.has_error());
    CHECK(nameOf(Parsed.error()) == nameOf(Row.Expected));
  }
}

// Guards against a field that changes on the wire, and against any single
// changed or missing byte that goes unnoticed.
TEST_CASE("frames survive a round trip and no change of a byte") {
  const std::string Payload("a\0b\xff", 4);
  const std::string Good = buildFrame(Header, Payload, Key);
  const auto Parsed = parseFrame(Good, Self, Key);
  REQUIRE(Parsed.has_value());
  CHECK(Parsed.value().Header == Header);
  CHECK(Parsed.value().Payload == Payload);
  for (std::size_t I = 0; I < Good.size(); ++I) {
    CAPTURE(I);
    CHECK(parseFrame(with(Good, I, static_cast<char>(Good[I] ^ 1)), Self, Key)
              .has_error());
    CHECK(parseFrame(Good.substr(0, I), Self, Key).has_error());
  }
  CHECK(buildFrame(Header, std::string(LongestPayloadBytes, 'x'), Key).size() ==
        LongestFrameBytes);
}

// Guards against random bytes that are accepted or read out of bounds.
TEST_CASE("parseFrame refuses random bytes") {
  std::mt19937_64 Random(20240817); // NOLINT: a fixed seed repeats a failure
  for (int I = 0; I < 20000; ++I) {
    std::string Bytes(Random() % 120, '\0');
    for (char &Byte : Bytes) {
      Byte = static_cast<char>(Random());
    }
    if (!Bytes.empty() && I % 2 == 0) {
      Bytes[0] = 1;
    }
    if (parseFrame(Bytes, Self, Key).has_value()) {
      FAIL("accepted random bytes in round " << I);
    }
  }
}

// Guards against a frame of a closed incarnation, or a replayed one, that is
// taken for a new one.
TEST_CASE("replay_guard takes each frame of the newest incarnation once") {
  struct row {
    std::uint32_t Sender;
    std::uint64_t Incarnation;
    std::uint64_t Sequence;
    bool Accepted;
    int Second = 0;
  };
  const std::vector<row> Rows = {
      {1, 5, 10, true},
      {1, 5, 10, false},
      {1, 5, 9, false},
      {1, 5, 12, true},
      {1, 5, 11, false},
      {2, 5, 1, true},
      {1, 6, 1, true},
      {1, 5, 99, false},
      {1, 6, 2, true},
      {1, 4, 1, false},
      {2, 5, 2, true},
      // After a restart with a clock that went back, and a long silence, the
      // smaller incarnation counts, and only it.
      {1, 4, 2, false, 1},
      {1, 4, 3, true, 3},
      {1, 4, 3, false, 3},
      {1, 4, 4, true, 3},
  };
  replay_guard Guard;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    CAPTURE(I);
    const auto &Row = Rows[I];
    CHECK(Guard.accept({message_kind::Raft, node_id{Row.Sender}, Self,
                        incarnation{Row.Incarnation}, Row.Sequence},
                       instant(std::chrono::seconds(Row.Second))) ==
          Row.Accepted);
  }
}
