#include "net/event_forms.h"
#include "router/stream_validator.h"
#include <catch2/catch.hpp>

#include <string>

using namespace arbutus;
using namespace arbutus::router;

namespace {

std::string chunk(const std::string &Id, int Index) {
  return R"(data: {"id":")" + Id +
         R"(","choices":[{"index":0,"delta":{"content":"w"}}],"token_index":)" +
         std::to_string(Index) + "}\n\n";
}

const std::string Done = "data: [DONE]\n\n";

std::string withCrlf(const std::string &Lines) {
  std::string Text;
  for (const char Byte : Lines) {
    Text += Byte == '\n' ? "\r\n" : std::string(1, Byte);
  }
  return Text;
}

} // namespace

// Guards against chunks of another request, repeated or missing chunks, and
// truncated streams that reach a caller as its complete response.
TEST_CASE("stream_validator forwards only a valid stream of the request") {
  struct row {
    const char *Name;
    std::string Input;
    stream_state State;
    std::uint64_t Tokens;
    std::string Forwarded;
  };
  const std::string A0 = chunk("own", 0);
  const std::string A1 = chunk("own", 1);
  const std::string P0 = chunk("public", 0);
  const std::string P1 = chunk("public", 1);
  const row Rows[] = {
      {"complete stream", A0 + A1 + Done, stream_state::Done, 2, P0 + P1},
      {"no end mark", A0 + A1, stream_state::Open, 2, P0 + P1},
      {"truncated inside an event", A0 + A1.substr(0, 20), stream_state::Open,
       1, P0},
      {"chunk of another request", A0 + chunk("other", 1) + A1 + Done,
       stream_state::WrongId, 1, P0},
      {"repeated chunk", A0 + A0 + A1 + Done, stream_state::Done, 2, P0 + P1},
      {"missing chunk", A0 + chunk("own", 2) + Done, stream_state::Malformed, 1,
       P0},
      {"not JSON", A0 + "data: nonsense\n\n", stream_state::Malformed, 1, P0},
      {"no id", "data: {\"choices\":[]}\n\n", stream_state::Malformed, 0, ""},
      {"id of a wrong type", A0 + "data: {\"id\":7}\n\n",
       stream_state::Malformed, 1, P0},
      {"usage of a wrong type",
       "data: {\"id\":\"own\",\"usage\":{\"completion_tokens\":\"x\"}}\n\n" +
           Done,
       stream_state::Done, 0,
       "data: {\"id\":\"public\",\"usage\":{\"completion_tokens\":\"x\"}}\n\n"},
      {"choices of a wrong type",
       "data: {\"id\":\"own\",\"choices\":[{\"delta\":5}]}\n\n" + Done,
       stream_state::Done, 0,
       "data: {\"id\":\"public\",\"choices\":[{\"delta\":5}]}\n\n"},
      {"CRLF line ends", withCrlf(A0 + A1 + Done), stream_state::Done, 2,
       withCrlf(P0 + P1)},
      {"comment", ": ping\n\n" + A0 + Done, stream_state::Done, 1, P0},
      {"after the end", A0 + Done + A1, stream_state::Done, 1, P0},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    stream_validator AtOnce("own", "public");
    CHECK(AtOnce.feed(Row.Input) == Row.Forwarded);
    CHECK(nameOf(AtOnce.state()) == nameOf(Row.State));
    CHECK(AtOnce.tokens() == Row.Tokens);
    stream_validator Bytewise("own", "public");
    std::string Forwarded;
    for (const char Byte : Row.Input) {
      Forwarded += Bytewise.feed({&Byte, 1});
    }
    CHECK(Forwarded == Row.Forwarded);
    CHECK(nameOf(Bytewise.state()) == nameOf(Row.State));
  }
}

// Guards against lost or repeated tokens when a broken stream is resumed on a
// new connection.
TEST_CASE("stream_validator continues a resumed stream without a gap") {
  stream_validator Validator("own", "own");
  std::string Forwarded = Validator.feed(chunk("own", 0) + chunk("own", 1) +
                                         chunk("own", 2).substr(0, 9));
  Validator.prepareResume();
  CHECK(Validator.tokens() == 2);
  Forwarded += Validator.feed(chunk("own", 1) + chunk("own", 2) + Done);
  CHECK(Validator.state() == stream_state::Done);
  CHECK(Forwarded == chunk("own", 0) + chunk("own", 1) + chunk("own", 2));
}

// Guards against an engine that holds the event loop by an event without end in
// small pieces: each piece cost a search of all bytes before it.
TEST_CASE("the validator's search does not begin anew with a piece") {
  constexpr std::size_t StreamBytes = std::size_t{32} << 10U;
  // A line end and a CR at the end of a piece may begin the empty line.
  constexpr std::size_t SearchedAgain = 2;
  for (const auto &Form : tests::EventForms) {
    const auto Bytes = tests::repeated(Form.Part, StreamBytes);
    for (const std::size_t PieceBytes : {1, 8, 1448}) {
      CAPTURE(Form.Name, PieceBytes);
      stream_validator Validator("own", "public");
      std::size_t Pieces = 0;
      tests::forEachPiece(Bytes, PieceBytes, [&](std::string_view Piece) {
        CHECK(Validator.feed(Piece).empty());
        ++Pieces;
      });
      CHECK(Validator.state() == stream_state::Open);
      const auto Work = Validator.takeWork();
      CHECK(Work.ReceivedBytes == StreamBytes);
      CHECK(Work.SearchedBytes <= StreamBytes + SearchedAgain * Pieces);
    }
  }
}
