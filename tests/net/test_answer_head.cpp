#include "net/answer_head.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::net;

namespace {

/// Reads the bytes in pieces of this size, as a connection does, until nothing
/// more is read.
answer_head readInPieces(const std::string &Bytes, std::size_t PieceBytes) {
  answer_head Head;
  std::size_t At = 0;
  while (At < Bytes.size()) {
    const std::string Piece = Bytes.substr(At, PieceBytes);
    const std::size_t Read = readHead(Head, Piece);
    At += Read;
    if (Read < Piece.size()) {
      break;
    }
  }
  CHECK(Head.Text == Bytes.substr(0, At));
  return Head;
}

} // namespace

// Guards against a head that is taken for one of HTTP although it is none, and
// against one that is refused or cut depending on how its bytes arrive.
TEST_CASE("only the head of an HTTP/1 answer is complete") {
  struct row {
    std::string Head;
    head_state State;
  };
  const auto Complete = head_state::Complete;
  const auto BadStatus = head_state::MalformedStatusLine;
  const auto BadField = head_state::MalformedField;
  const std::string Line = "HTTP/1.1 200 OK\r\n";
  const std::vector<row> Rows = {
      {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", Complete},
      {"HTTP/1.0 503 Service Unavailable\r\n\r\n", Complete},
      {"HTTP/1.1 200\r\n\r\n", Complete},
      {"HTTP/1.1 100 Continue\r\n\r\n", Complete},
      {"HTTP/1.1 599 \r\n\r\n", Complete},
      {"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", Complete},
      {"HTTP/1.1 200 OK\nA: b\n\n", Complete},
      {"HTTP/1.1 200 OK\r\nA: b\r\n", head_state::Incomplete},
      {"HTTP/1.1 200 OK\r\nA: b\r\n\r", head_state::Incomplete},
      {"HTTP/1.1 000 X\r\n", BadStatus},
      {"HTTP/1.1 099 X\r\n", BadStatus},
      {"HTTP/1.1 600 X\r\n", BadStatus},
      {"HTTP/1.1 999 X\r\n", BadStatus},
      {"HTTP/1.1 20 X\r\n", BadStatus},
      {"HTTP/1.1 0200 X\r\n", BadStatus},
      {"HTTP/1.1 +20 X\r\n", BadStatus},
      {"HTTP/1.1 2x0 X\r\n", BadStatus},
      {"HTTP/1.1  200 X\r\n", BadStatus},
      {"HTTP/1.1 \r\n", BadStatus},
      {"HTTP/1.1\r\n", BadStatus},
      {"HTTP/1.\r\n", BadStatus},
      {"HTTP/2.0 200 OK\r\n", BadStatus},
      {"HTTP/1.1 101 Switching Protocols\r\n", BadStatus},
      {"hello\r\n", BadStatus},
      {"HTTP/1.1 200 O\x01K\r\n", BadStatus},
      {"HTTP/1.1 200 O\rK\r\n", BadStatus},
      {Line + "!#$%&'*+-.^_`|~aZ09: b\r\n\r\n", Complete},
      {Line + "A:\r\nB:b\r\nC: \r\n\r\n", Complete},
      {Line + "A: b c\td : \xc3\xa4\xff\r\n\r\n", Complete},
      {Line + "A b: c\r\n", BadField},
      {Line + "A : b\r\n", BadField},
      {Line + " A: b\r\n", BadField},
      {Line + "A: b\r\n c\r\n", BadField},
      {Line + "A: b\r\n\tc: d\r\n", BadField},
      {Line + " \r\n", BadField},
      {Line + "A\tb: c\r\n", BadField},
      {Line + "A\x01: c\r\n", BadField},
      {Line + "A" + std::string(1, 0) + "b: c\r\n", BadField},
      {Line + "A\x7f: c\r\n", BadField},
      {Line + "A\xe4: c\r\n", BadField},
      {Line + "A\rB: c\r\n", BadField},
      {Line + "A(b): c\r\n", BadField},
      {Line + ": c\r\n", BadField},
      {Line + "A\r\n", BadField},
      {Line + "\r\r\n", BadField},
      {Line + "A: b\x1f\r\n", BadField},
      {Line + "A: b" + std::string(1, 0) + "c\r\n", BadField},
      {Line + "A: b\rC: d\r\n", BadField},
      {Line + "A: b\x7f\r\n", BadField},
  };
  for (const auto &Row : Rows) {
    for (const std::size_t PieceBytes : {1, 2, 3, 7, 1000}) {
      CAPTURE(Row.Head, PieceBytes);
      const auto Head = readInPieces(Row.Head + "body\n\nX", PieceBytes);
      if (Row.State != head_state::Incomplete) {
        CHECK(nameOf(Head.State) == nameOf(Row.State));
        CHECK(Head.Text == Row.Head);
      }
      CHECK(readInPieces(Row.Head, PieceBytes).State == Row.State);
    }
  }
}

// Guards against a head without end that is kept in memory.
TEST_CASE("a head that is too long is not read on") {
  for (const std::string Line : {"A: b\r\n", "A"}) {
    answer_head Head;
    readHead(Head, "HTTP/1.1 200 OK\r\n");
    for (int I = 0; I < 1'000'000 && !isBroken(Head); ++I) {
      readHead(Head, Line);
    }
    CHECK(nameOf(Head.State) == "head_too_long");
    CHECK(Head.Text.size() <= MaxAnswerHeadBytes + Line.size());
    CHECK(readHead(Head, Line) == 0);
  }
}
