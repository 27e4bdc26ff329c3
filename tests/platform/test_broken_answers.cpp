#include "flow_fixture.h"
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::platform::testing;
using after = scripted_reply::after;

namespace {

constexpr auto Idempotent = store::request_kind::Idempotent;
constexpr auto NonIdempotent = store::request_kind::NonIdempotent;
constexpr auto Stream = store::request_kind::Stream;

const std::string Refusal = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string EventOne = "id: 1\ndata: one\n\n";
const std::string EventTwo = "id: 2\ndata: two\n\n";

std::string chunk(const std::string &Bytes) {
  return fmt::format("{:x}\r\n{}\r\n", Bytes.size(), Bytes);
}

std::string streamHead(const net::http_headers &Request,
                       const std::string &Framing) {
  return answerHead(Request, "200 OK",
                    "Content-Type: text/event-stream\r\n" + Framing + "\r\n");
}

/// The answer to a fixture's first request, up to the line that ends its head.
const std::string Head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Stamp: s\r\n";

/// Far longer than an answer takes, so that no busy machine reaches it.
const net::http_headers LongDeadline = {{"Deadline-Ms", "15000"}};

/// More than the buffers between a router and a scripted upstream hold.
const std::string LongBody(std::size_t{16} << 20U, 'x');

/// A caller's request fails when its upstream answers it with these bytes.
/// Repeated at another upstream, it succeeds; it is not repeated where it may
/// run only once.
void checkRefused(const scripted_reply &Broken, const std::string &Body = {}) {
  struct row {
    route_options Route;
    bool Repeated;
  };
  const std::vector<row> Rows = {{{NonIdempotent}, false},
                                 {{Idempotent}, true},
                                 {{Stream, false}, false},
                                 {{Stream, true}, true}};
  for (const auto &Row : Rows) {
    CAPTURE(static_cast<int>(Row.Route.Kind), Row.Route.Resumable);
    int Calls = 0;
    const auto Reply = [&](const auto &Request) {
      return ++Calls == 1 ? Broken : answerTo(Request, "200 OK");
    };
    flow_fixture Router(Row.Route, {Reply, Reply});
    const auto Exchange = Router.request(LongDeadline, Body);
    CHECK(Exchange->Status == (Row.Repeated ? 200 : 502));
    CHECK(Exchange->Body.find("bad") == std::string::npos);
    CHECK(Calls == (Row.Repeated ? 2 : 1));
  }
}

} // namespace

// Guards against a refusal that a faulty upstream writes once more on a kept
// connection and that is taken for the answer to the next request: its caller
// would be told that it was not run, or it would run at a second upstream.
TEST_CASE("a refusal of another request proves nothing") {
  struct row {
    std::string Name;
    std::string Stray;
    /// The request runs and its own answer follows the stray one.
    bool Answers;
  };
  const std::vector<row> Rows = {
      {"of an earlier request, then the answer",
       "HTTP/1.1 503 X\r\nAttempt-Id: earlier\r\n" + Refusal, true},
      {"without an id", "HTTP/1.1 503 X\r\n" + Refusal, false},
      {"without an id, wrong instance", "HTTP/1.1 421 X\r\n" + Refusal, false},
      {"without an id, then the answer", "HTTP/1.1 503 X\r\n" + Refusal, true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    int Calls = 0;
    const auto Reply = [&](const auto &Request) {
      if (++Calls == 1) {
        return answerTo(Request, "200 OK");
      }
      auto Bytes = Row.Stray;
      if (Row.Answers) {
        Bytes += answerTo(Request, "200 OK").Bytes;
      }
      return scripted_reply{Bytes, after::Keep};
    };
    flow_fixture Router({NonIdempotent}, {Reply, Reply});
    Router.request();
    const auto Exchange = Router.request();
    CHECK(Exchange->Status != 503);
    CHECK(Exchange->Status != 429);
    CHECK(Calls == 2);
  }
}

// Guards against a stream that is continued with an error's text or head, or
// that ends as if it were complete, after its upstream broke off.
TEST_CASE("a broken stream is resumed or ends incomplete") {
  struct row {
    std::string Name;
    /// What follows the first event at the first upstream, and how it ends.
    std::string Rest;
    after After;
    std::string Framing;
    /// Status and body of the second upstream.
    std::string NextStatus;
    std::string NextBody;
    bool Complete;
  };
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<row> Rows = {
      {"the next answers with an error", "", after::Close, Chunked, "500 X",
       "failed", false},
      {"the next refuses", "", after::Close, Chunked, "503 X", "full", false},
      {"the next answers with an error that looks like an event", "",
       after::Close, Chunked, "429 X", EventTwo, false},
      {"the next goes on", "", after::Close, Chunked, "200 OK", EventTwo, true},
      {"broken inside an event", "id: 2\ndata: tw", after::Close, Chunked,
       "200 OK", EventTwo, true},
      {"without a length, ends inside an event", "id: 2\ndata: tw",
       after::Close, "", "200 OK", EventTwo, true},
      {"without a length, ends inside an event; the next fails",
       "id: 2\ndata: tw", after::Close, "", "500 X", "failed", false},
      {"without a length, reset", "", after::Reset, "", "200 OK", EventTwo,
       true},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    const auto Reply = [&](const auto &Request) -> scripted_reply {
      if (net::headerOf(Request, "Last-Event-Id") != "1") {
        const auto Bytes = EventOne + Row.Rest;
        return {streamHead(Request, Row.Framing) +
                    (Row.Framing.empty() ? Bytes : chunk(Bytes)),
                Row.After};
      }
      return {answerHead(Request, Row.NextStatus) +
                  "Content-Length: " + std::to_string(Row.NextBody.size()) +
                  "\r\n\r\n" + Row.NextBody,
              after::Keep};
    };
    flow_fixture Router({Stream, true}, {Reply, Reply});
    const auto Exchange = Router.request();
    if (Exchange->Status != 200) {
      continue; // a reset may overtake the first event
    }
    CHECK(Exchange->Aborted == !Row.Complete);
    CHECK(Exchange->Body == (Row.Complete ? EventOne + EventTwo : EventOne));
  }
}

// Guards against a stream that ends inside an event and is passed on as
// complete, where it may not be resumed.
TEST_CASE("a stream that ends inside an event is incomplete") {
  for (const std::string Framing : {"", "Transfer-Encoding: chunked\r\n"}) {
    CAPTURE(Framing);
    const auto Reply = [&](const auto &Request) -> scripted_reply {
      const auto Bytes = EventOne + "id: 2\ndata: tw";
      return {streamHead(Request, Framing) +
                  (Framing.empty() ? Bytes : chunk(Bytes) + "0\r\n\r\n"),
              after::Close};
    };
    flow_fixture Router({Stream, false}, {Reply});
    const auto Exchange = Router.request();
    CHECK(Exchange->Aborted);
    CHECK(Exchange->Body == EventOne);
  }
}

// Guards against an answer that was cut off and reaches the caller as a whole
// success with an empty or short body.
TEST_CASE("an answer that is cut off is no success") {
  struct row {
    std::string Name;
    std::string Text;
    after After;
  };
  const std::string Id = "Attempt-Id: r1\r\nServer-Stamp: s\r\n";
  const std::vector<row> Rows = {
      {"in the status line", "HTTP/1.1 200", after::Close},
      {"after the status line", "HTTP/1.1 200 OK\r\n", after::Close},
      {"inside a header", "HTTP/1.1 200 OK\r\n" + Id + "Content-Le",
       after::Close},
      {"inside the length", "HTTP/1.1 200 OK\r\n" + Id + "Content-Length: 1",
       after::Close},
      {"after the headers, before the empty line",
       "HTTP/1.1 200 OK\r\n" + Id + "Content-Length: 10\r\n", after::Close},
      {"before the body",
       "HTTP/1.1 200 OK\r\n" + Id + "Content-Length: 10\r\n\r\n", after::Close},
      {"inside the body",
       "HTTP/1.1 200 OK\r\n" + Id + "Content-Length: 10\r\n\r\n12345",
       after::Close},
      {"inside a chunk",
       "HTTP/1.1 200 OK\r\n" + Id +
           "Transfer-Encoding: chunked\r\n\r\na\r\n12345",
       after::Close},
      {"before the last chunk",
       "HTTP/1.1 200 OK\r\n" + Id +
           "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
       after::Close},
      {"without a length, reset", "HTTP/1.1 200 OK\r\n" + Id + "\r\n12345",
       after::Reset},
  };
  for (const auto &Row : Rows) {
    for (const auto Kind : {NonIdempotent, Stream}) {
      CAPTURE(Row.Name, static_cast<int>(Kind));
      flow_fixture Router({Kind}, {[&](const auto &) {
                            return scripted_reply{Row.Text, Row.After};
                          }});
      const auto Exchange = Router.request();
      CHECK((Exchange->Status >= 500 || Exchange->Aborted));
      CHECK(Exchange->Status != 503);
    }
  }
}

// Guards against bytes that are no answer and reach the caller as one: a status
// that HTTP does not have, alone or before the upstream's own answer.
TEST_CASE("an answer without an HTTP status reaches no caller") {
  const std::string Bad = "Content-Length: 3\r\n\r\nbad";
  const auto Whole = [&](const std::string &StatusLine) {
    return StatusLine + "\r\nAttempt-Id: r1\r\nServer-Stamp: s\r\n" + Bad;
  };
  const std::vector<std::pair<std::string, std::string>> Rows = {
      {"000", Whole("HTTP/1.1 000 X")},
      {"000, the answer follows",
       Whole("HTTP/1.1 000 X") + Whole("HTTP/1.1 200 OK")},
      {"below the least status", Whole("HTTP/1.1 099 X")},
      {"above the last status", Whole("HTTP/1.1 600 X")},
      {"two digits", Whole("HTTP/1.1 20 X")},
      {"four digits", Whole("HTTP/1.1 0200 X")},
      {"another version of HTTP", Whole("HTTP/9.1 200 OK")},
      {"a change of the protocol",
       "HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" +
           Whole("HTTP/1.1 200 OK")},
      {"an interim answer with a body",
       "HTTP/1.1 100 X\r\n" + Bad + Whole("HTTP/1.1 200 OK")},
  };
  for (const auto &[Name, Bytes] : Rows) {
    for (const auto After : {after::Keep, after::Close}) {
      CAPTURE(Name, static_cast<int>(After));
      checkRefused({Bytes, After});
    }
  }
}

// Guards against a head with a line that is no field, which reaches the caller
// or hides where the body ends.
TEST_CASE("an answer with a malformed field reaches no caller") {
  const std::string Length = "Content-Length: 3\r\n";
  const std::string Body = "\r\nbad";
  const std::vector<std::pair<std::string, std::string>> Rows = {
      {"a blank in a name", Head + "My Name: a\r\n" + Length + Body},
      {"a blank behind a name", Head + "Name : a\r\n" + Length + Body},
      {"a blank before the first name",
       "HTTP/1.1 200 OK\r\n Name: a\r\nAttempt-Id: r1\r\nServer-Stamp: s\r\n" +
           Length + Body},
      {"a blank before a name", Head + " Name: a\r\n" + Length + Body},
      {"a tab before a name", Head + "\tName: a\r\n" + Length + Body},
      {"a tab in a name", Head + "My\tName: a\r\n" + Length + Body},
      {"a control byte in a name", Head + "My\x01Name: a\r\n" + Length + Body},
      {"a zero byte in a name",
       Head + "My" + std::string(1, 0) + "Name: a\r\n" + Length + Body},
      {"a DEL in a name", Head + "My\x7fName: a\r\n" + Length + Body},
      {"a carriage return in a name", Head + "My\rName: a\r\n" + Length + Body},
      {"a blank in the name of the length",
       Head + "Content Length: 3\r\n" + Body + "more"},
      {"a blank before the name of the length",
       Head + " Content-Length: 3\r\n" + Body + "more"},
      {"a blank behind the name of the length",
       Head + "Content-Length : 3\r\n" + Body + "more"},
      {"a blank in the name of the encoding",
       Head + "Transfer Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
      {"a blank behind the name of the encoding",
       Head + "Transfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
      {"a blank in the name of an interim answer",
       "HTTP/1.1 103 Early\r\nMy Name: a\r\n\r\n" + Head + Length + Body},
      {"a refusal that would prove that it did not run",
       "HTTP/1.1 503 X\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\nMy Name: a\r\n" +
           Length + Body},
      {"no name", Head + ": a\r\n" + Length + Body},
      {"no colon", Head + "Name\r\n" + Length + Body},
      {"a control byte in a value", Head + "Name: a\x01z\r\n" + Length + Body},
      {"a zero byte in the reason", "HTTP/1.1 200 O" + std::string(1, 0) +
                                        "K\r\nAttempt-Id: r1\r\n" +
                                        "Server-Stamp: s\r\n" + Length + Body},
      {"a carriage return in place of the empty line", Head + Length + "\rbad"},
  };
  for (const auto &[Name, Bytes] : Rows) {
    CAPTURE(Name);
    checkRefused({Bytes, after::Close});
  }
}

// Guards against a body whose boundaries are not where its framing says, so
// that the caller gets another body as a complete one.
TEST_CASE("an answer with a malformed body reaches no caller") {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Last = "0\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Rows = {
      {"a chunk longer than its size", Chunked + "3\r\nbadXY" + Last},
      {"a chunk that ends with a line feed alone",
       Chunked + "3\r\nbad\nX" + Last},
      {"a size that ends with a carriage return alone",
       Chunked + "3\rXbad\r\n" + Last},
      {"a last chunk that ends with a carriage return alone",
       Chunked + "3\r\nbad\r\n0\r\n\rX"},
      {"an unknown encoding",
       Head + "Transfer-Encoding: chunke\r\n\r\n3\r\nbad\r\n" + Last},
      {"an encoding that is not asked for",
       Head + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nbad\r\n" + Last},
  };
  for (const auto &[Name, Bytes] : Rows) {
    CAPTURE(Name);
    checkRefused({Bytes, after::Close});
  }
}

// Guards against bytes behind an answer that has no body by its status: the
// caller would take them for the start of its next answer.
TEST_CASE("an answer that has no body by its status is passed on without") {
  struct row {
    std::string Status;
    std::string Rest;
  };
  const std::vector<row> Rows = {
      {"204 No Content", "Content-Length: 3\r\n\r\nbad"},
      {"204 No Content", "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n"},
      {"304 Not Modified", "Content-Length: 800\r\n\r\n"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Status, Row.Rest);
    const auto Reply = [&](const auto &Request) -> scripted_reply {
      return {answerHead(Request, Row.Status, Row.Rest), after::Keep};
    };
    flow_fixture Router({NonIdempotent}, {Reply});
    const auto Exchange = Router.request(LongDeadline);
    CHECK(Exchange->Status == std::stoi(Row.Status));
    CHECK(Exchange->Body.empty());
  }
}

// Guards against an answer without a length that is cut off by a reset while
// the request's body is still written, and that looks complete: the write takes
// the error of the connection, and the read then finds its end.
TEST_CASE("an early answer that is reset is no success") {
  for (int Run = 0; Run < 20; ++Run) {
    for (const auto After : {after::Reset, after::ResetLater}) {
      CAPTURE(Run, static_cast<int>(After));
      checkRefused({Head + "\r\nbad", After}, LongBody);
      checkRefused({Head + "\r\n", After}, LongBody);
    }
  }
}

// Guards against a whole answer that is taken for a broken one because the
// upstream did not wait for the request's body.
TEST_CASE("an early answer that is whole is passed on") {
  const std::vector<scripted_reply> Rows = {
      {Head + "\r\nok", after::Finish},
      {Head + "Content-Length: 2\r\n\r\nok", after::Keep},
      {Head + "Content-Length: 2\r\n\r\nok", after::Reset},
      {Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       after::Reset},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Bytes, static_cast<int>(Row.After));
    flow_fixture Router({NonIdempotent}, {[&](const auto &) { return Row; }});
    const auto Exchange = Router.request(LongDeadline, LongBody);
    CHECK(Exchange->Status == 200);
    CHECK(Exchange->Body == "ok");
  }
}
