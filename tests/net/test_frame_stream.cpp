#include "net/frame_stream.h"
#include "net/mesh_frame.h"
#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace arbutus::net;

// Guards against frames that are lost, joined or cut when a connection delivers
// their bytes in pieces.
TEST_CASE("frames are found whatever the pieces they arrive in") {
  const std::vector<std::string> Frames = {"a", "", std::string(300, 'b'),
                                           "cd"};
  std::string Bytes;
  for (const auto &Frame : Frames) {
    Bytes += withLength(Frame);
  }
  for (const std::size_t Piece :
       {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{5},
        std::size_t{64}, Bytes.size()}) {
    CAPTURE(Piece);
    frame_stream Stream;
    std::vector<std::string> Found;
    for (std::size_t At = 0; At < Bytes.size(); At += Piece) {
      CHECK(feedFrames(
          Stream, std::string_view(Bytes).substr(At, Piece),
          [&](std::string_view Frame) { Found.emplace_back(Frame); }));
    }
    CHECK(Found == Frames);
    CHECK(Stream.Partial.empty());
  }
}

// Guards against a peer that makes a receiver set aside any amount of memory.
TEST_CASE("the length of a frame is bounded") {
  struct row {
    std::string Prefix;
    bool Accepted;
  };
  const auto PrefixOf = [](std::size_t Length) {
    std::string Prefix;
    for (int I = 0; I < 4; ++I) {
      Prefix.push_back(static_cast<char>(Length >> (8U * I)));
    }
    return Prefix;
  };
  for (const auto &Row : {row{PrefixOf(LongestFrameBytes), true},
                          row{PrefixOf(LongestFrameBytes + 1), false},
                          row{std::string(4, '\xff'), false}}) {
    frame_stream Stream;
    bool Called = false;
    CHECK(feedFrames(Stream, Row.Prefix, [&](auto) { Called = true; }) ==
          Row.Accepted);
    CHECK_FALSE(Called);
  }
}
