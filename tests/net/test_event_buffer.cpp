#include "net/event_buffer.h"
#include "net/event_forms.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::net;

namespace {

std::vector<std::string> eventsOf(event_buffer &Buffer, std::string_view Bytes,
                                  std::size_t PieceBytes) {
  std::vector<std::string> Events;
  tests::forEachPiece(Bytes, PieceBytes, [&](std::string_view Piece) {
    Buffer.append(Piece,
                  [&](std::string_view Event) { Events.emplace_back(Event); });
  });
  return Events;
}

} // namespace

// Guards against an event whose end is missed or found twice because a piece
// ends inside of it.
TEST_CASE("events end with an empty line, whatever the pieces are") {
  struct row {
    std::string Bytes;
    std::vector<std::string> Events;
    std::string Partial;
  };
  const std::vector<row> Rows = {
      {"a\n\nb\n\n", {"a\n\n", "b\n\n"}, ""},
      {"a\r\n\r\nb", {"a\r\n\r\n"}, "b"},
      {"a\n\r\nb\r\n\n", {"a\n\r\n", "b\r\n\n"}, ""},
      {"a\n\rb\n\n", {"a\n\rb\n\n"}, ""},
      {"a\r\rb\n", {}, "a\r\rb\n"},
      {"\n\n\n", {"\n\n"}, "\n"},
      {"a\n", {}, "a\n"},
      {"a\n\r", {}, "a\n\r"},
  };
  for (const auto &Row : Rows) {
    for (std::size_t PieceBytes = 1; PieceBytes <= 4; ++PieceBytes) {
      CAPTURE(Row.Bytes, PieceBytes);
      event_buffer Buffer;
      CHECK(eventsOf(Buffer, Row.Bytes, PieceBytes) == Row.Events);
      CHECK(Buffer.partial() == Row.Partial);
    }
  }
}

// Guards against events that depend on the pieces in which a stream arrives.
TEST_CASE("a stream has the same events in one piece and in many") {
  constexpr std::size_t StreamBytes = 1000;
  for (const auto &Form : tests::EventForms) {
    const auto Bytes = tests::repeated(Form.Part, StreamBytes);
    event_buffer AtOnce;
    const auto Expected = eventsOf(AtOnce, Bytes, StreamBytes);
    for (const std::size_t PieceBytes : {1, 2, 3, 7, 64}) {
      CAPTURE(Form.Name, PieceBytes);
      event_buffer Buffer;
      CHECK(eventsOf(Buffer, Bytes, PieceBytes) == Expected);
      CHECK(Buffer.partial() == AtOnce.partial());
    }
  }
}

// Guards against bytes of a dropped event that are joined with the next one.
TEST_CASE("a dropped event leaves nothing behind") {
  event_buffer Buffer;
  CHECK(eventsOf(Buffer, "a\n", 1).empty());
  Buffer.clear();
  CHECK(eventsOf(Buffer, "\nb\n\n", 1) == std::vector<std::string>{"\nb\n\n"});
  CHECK(eventsOf(Buffer, "c\n", 1).empty());
  CHECK(Buffer.take() == "c\n");
  CHECK(eventsOf(Buffer, "\nd\n\n", 1) == std::vector<std::string>{"\nd\n\n"});
}
