#include "base/piece_buffer.h"
#include "heap_meter.h"
#include "net/event_forms.h"
#include "net/frame_stream.h"
#include "net/mesh_frame.h"
#include <catch2/catch.hpp>

#include <string>

using namespace arbutus;

namespace {

/// A buffer that doubles its size allocates less than four times the bytes that
/// it ends with, and holds less than three times of them at once.
constexpr std::size_t MaxAllocatedPerByte = 4;
constexpr std::size_t MaxHeldPerByte = 3;
/// Headers of blocks and other small things.
constexpr std::size_t Slack = 4096;

} // namespace

// Guards against a frame that is copied whole with each of its pieces, as the
// network delivers a long one.
TEST_CASE("a frame in pieces is copied a constant number of times") {
  for (const std::size_t FrameBytes :
       {std::size_t{1} << 20U, net::LongestFrameBytes}) {
    const auto Bytes = net::withLength(std::string(FrameBytes, 'x'));
    for (const std::size_t PieceBytes : {std::size_t{1448}, FrameBytes / 8}) {
      CAPTURE(FrameBytes, PieceBytes);
      net::frame_stream Stream;
      std::size_t Frames = 0;
      const auto Heap = tests::heapUse([&] {
        tests::forEachPiece(Bytes, PieceBytes, [&](std::string_view Piece) {
          (void)net::feedFrames(Stream, Piece, [&](std::string_view Frame) {
            Frames += Frame.size() == FrameBytes ? 1 : 0;
          });
        });
      });
      CHECK(Frames == 1);
      CHECK(Stream.Partial.empty());
      CHECK(Heap.Kept <= Slack);
      CHECK(Heap.Allocated <= MaxAllocatedPerByte * Bytes.size() + Slack);
      CHECK(Heap.Peak <= MaxHeldPerByte * Bytes.size() + Slack);
    }
  }
}

// Guards against a connection that keeps the memory of its longest message
// while it waits for the rest of a short one.
TEST_CASE("a message that was used frees its memory") {
  constexpr std::size_t MessageBytes = std::size_t{1} << 20U;
  const std::string Piece(MessageBytes / 2, 'x');
  piece_buffer Buffer;
  const auto Heap = tests::heapUse([&] {
    (void)Buffer.join(Piece);
    Buffer.keepAfter(0);
    const auto Joined = Buffer.join(Piece);
    Buffer.keepAfter(Joined.size() - 1);
  });
  CHECK(Buffer.kept() == "x");
  CHECK(Heap.Kept <= Slack);
}
