#include "net/event_forms.h"
#include "traffic/event_splitter.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::traffic;

namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x" + std::to_string(Id) +
         "\n\n";
}

} // namespace

// Guards against partial events that reach a caller and are joined with the
// same event from the upstream at which the stream resumes.
TEST_CASE("only complete events are forwarded") {
  struct row {
    std::string Name;
    std::vector<std::string> Bytes;
    std::string Forwarded;
    std::optional<std::uint64_t> LastId;
    bool Resumable;
  };
  const std::vector<row> Rows = {
      {"one piece", {event(1) + event(2)}, event(1) + event(2), 2, true},
      {"cut anywhere",
       {"id: 1\nda", "ta: x1\n", "\nid: 2\ndata"},
       event(1),
       1,
       true},
      {"CRLF", {"id:3\r\ndata: a\r\n\r\n"}, "id:3\r\ndata: a\r\n\r\n", 3, true},
      {"a field before the id",
       {"weight-versions: 4\nid: 9\ndata: a\n\n"},
       "weight-versions: 4\nid: 9\ndata: a\n\n",
       9,
       true},
      {"no id", {"data: a\n\n"}, "data: a\n\n", std::nullopt, false},
      {"no number", {"id: a\n\n"}, "id: a\n\n", std::nullopt, false},
      {"nothing whole", {"id: 1\ndata: x"}, "", std::nullopt, true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    event_splitter Events;
    std::string Forwarded;
    for (const auto &Bytes : Row.Bytes) {
      Forwarded += Events.append(Bytes);
    }
    CHECK(Forwarded == Row.Forwarded);
    CHECK(Events.lastId() == Row.LastId);
    CHECK(Events.resumable() == Row.Resumable);
  }
}

// Guards against a lost or duplicate event when a stream resumes at another
// upstream, which may send events again that the caller already has.
TEST_CASE("a stream resumes after its last complete event") {
  event_splitter Events;
  CHECK(Events.append(event(1) + event(2) + "id: 3\ndata: x") ==
        event(1) + event(2));
  Events.discardPartial();
  CHECK(Events.append(event(2) + event(3)) == event(3));
  CHECK(Events.append(event(4)) == event(4));
  CHECK(Events.lastId() == 4);
  CHECK(Events.resumable());
}

// Guards against losing the last bytes of a complete response, and against a
// router that buffers an endless event.
TEST_CASE("incomplete events are flushed and not resumable") {
  event_splitter Events;
  CHECK(Events.append("tail").empty());
  CHECK(Events.flush() == "tail");
  CHECK_FALSE(Events.resumable());
}

// Guards against a router that buffers or forwards an endless event, and
// against one that cannot resume after the last whole event before it.
TEST_CASE("an event without end is neither kept nor forwarded") {
  event_splitter Events;
  CHECK(Events.append(event(1)) == event(1));
  const std::string Bytes(std::size_t{100} << 10U, 'x');
  for (int I = 0; I < 40; ++I) {
    CHECK(Events.append(Bytes).empty());
    CHECK(Events.isTooLong() == (I >= 2));
  }
  CHECK(Events.flush().empty());
  CHECK(Events.lastId() == 1);
  Events.discardPartial();
  CHECK_FALSE(Events.isTooLong());
  CHECK(Events.resumable());
  CHECK(Events.append(event(2)) == event(2));
}

// Guards against an upstream that holds the event loop by an event without end
// in small pieces: each piece cost a search of all bytes before it.
TEST_CASE("the search for an event's end does not begin anew with a piece") {
  constexpr std::size_t StreamBytes = std::size_t{32} << 10U;
  // A line end and a CR at the end of a piece may begin the empty line.
  constexpr std::size_t SearchedAgain = 2;
  for (const auto &Form : tests::EventForms) {
    const auto Bytes = tests::repeated(Form.Part, StreamBytes);
    event_splitter AtOnce;
    const auto Expected = AtOnce.append(Bytes);
    for (const std::size_t PieceBytes : {1, 8, 1448}) {
      CAPTURE(Form.Name, PieceBytes);
      event_splitter Events;
      std::string Forwarded;
      std::size_t Pieces = 0;
      tests::forEachPiece(Bytes, PieceBytes, [&](std::string_view Piece) {
        Forwarded += Events.append(Piece);
        ++Pieces;
      });
      const auto Work = Events.takeWork();
      CHECK(Work.ReceivedBytes == StreamBytes);
      CHECK(Work.SearchedBytes <= StreamBytes + SearchedAgain * Pieces);
      CHECK(Forwarded == Expected);
    }
  }
}
