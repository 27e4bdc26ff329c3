#include "net/http_client.h"
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace arbutus;
using namespace arbutus::net;

namespace {

using tcp = asio::ip::tcp;

/// What the server does with one request.
struct reply {
  std::string Text;
  enum class after { Keep, Close, Reset } After = after::Keep;
  /// False: the connection is closed before a request is read.
  bool ReadsRequest = true;
  /// Sends byte by byte, so that the client reads them in many pieces.
  bool Slow = false;
};

/// A server that follows a script: one list of replies for each connection, in
/// the order in which connections are accepted.
class scripted_server {
public:
  explicit scripted_server(std::vector<std::vector<reply>> Script)
      : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Thread([this, Script = std::move(Script)] { run(Script); }) {}
  ~scripted_server() { Thread.join(); }
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  [[nodiscard]] std::string url() {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port()) + "/x";
  }
  /// Requests read; valid after the script has ended.
  int Requests = 0;

private:
  void run(const std::vector<std::vector<reply>> &Script) {
    for (const auto &Replies : Script) {
      tcp::socket Socket(Io);
      Acceptor.accept(Socket);
      for (const auto &Reply : Replies) {
        asio::error_code Error;
        if (Reply.ReadsRequest) {
          asio::streambuf Buffer;
          asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
          if (Error) {
            break;
          }
          ++Requests;
        }
        write(Socket, Reply);
        if (Reply.After == reply::after::Reset) {
          Socket.set_option(asio::socket_base::linger(true, 0), Error);
        }
        if (Reply.After != reply::after::Keep) {
          Socket.close(Error);
          break;
        }
      }
      Open.push_back(std::move(Socket));
    }
  }

  static void write(tcp::socket &Socket, const reply &Reply) {
    asio::error_code Error; // a client that has closed needs no more
    if (!Reply.Slow) {
      asio::write(Socket, asio::buffer(Reply.Text), Error);
      return;
    }
    Socket.set_option(tcp::no_delay(true), Error);
    for (const char &Byte : Reply.Text) {
      asio::write(Socket, asio::buffer(&Byte, 1), Error);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::vector<tcp::socket> Open;
  std::thread Thread;
};

struct result {
  call_outcome Outcome = call_outcome::Cancelled;
  int Status = 0;
  std::string Body;
};

/// Makes one call and runs the loop until it ends.
result callOnce(asio::io_context &Io, http_client &Client,
                const std::string &Url, const std::string &Id = "") {
  result Result;
  bool Done = false;
  http_call Call;
  Call.Method = "GET";
  Call.Url = Url;
  Call.Timeout = 20s;
  if (!Id.empty()) {
    Call.IsAnswer = [Id](const http_headers &Headers) {
      return headerOf(Headers, "Id") == Id;
    };
  }
  Call.OnHeaders = [&](int Status, const http_headers &) {
    Result.Status = Status;
  };
  Call.OnBody = [&](std::string_view Bytes) { Result.Body += Bytes; };
  Call.OnDone = [&](call_outcome Outcome) {
    Result.Outcome = Outcome;
    Done = true;
  };
  Client.start(std::move(Call));
  Io.restart();
  while (!Done) {
    Io.run_one();
  }
  return Result;
}

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string OkOf7 =
    "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok";
const std::string OkOf6 =
    "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 3\r\n\r\nold";

} // namespace

// Guards against a cut answer that is taken for a whole one, and against an
// outcome that says less or more than was seen.
TEST_CASE("the outcome of a call follows from what the server sent") {
  using after = reply::after;
  struct row {
    std::string What;
    reply Reply;
    call_outcome Outcome;
    std::string Body;
  };
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<row> Rows = {
      {"whole", {Ok}, call_outcome::Complete, "ok"},
      {"cut short",
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", after::Close},
       call_outcome::AnswerBroken,
       "ok"},
      {"chunks without the last one",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        after::Close},
       call_outcome::AnswerBroken,
       "ok"},
      {"no length, ended by the close",
       {"HTTP/1.1 200 OK\r\n\r\nok", after::Close},
       call_outcome::Complete,
       "ok"},
      {"no length, ended by a reset",
       {"HTTP/1.1 200 OK\r\n\r\nok", after::Reset},
       call_outcome::AnswerBroken,
       ""},
      {"no answer", {"", after::Close}, call_outcome::SentNoAnswer, ""},
      {"not HTTP",
       {"hello there\r\n\r\n", after::Close},
       call_outcome::SentNoAnswer,
       ""},
      {"half a header",
       {"HTTP/1.1 200 OK\r\nCont", after::Close},
       call_outcome::SentNoAnswer,
       ""},
      {"an interim answer first",
       {"HTTP/1.1 100 Continue\r\n\r\n" + Ok},
       call_outcome::Complete,
       "ok"},
      {"an interim answer first, byte by byte",
       {"HTTP/1.1 100 Continue\r\n\r\n" + Ok, after::Keep, true, true},
       call_outcome::Complete,
       "ok"},
      {"chunks, byte by byte",
       {Chunked + "2\r\nok\r\n1;a=b\r\n!\r\n0\r\nA: b\r\n\r\n", after::Keep,
        true, true},
       call_outcome::Complete,
       "ok!"},
      {"a chunk longer than its size, byte by byte",
       {Chunked + "2\r\nok!\r\n0\r\n\r\n", after::Keep, true, true},
       call_outcome::AnswerBroken,
       "ok"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    scripted_server Server({{Row.Reply}});
    asio::io_context Io;
    http_client Client(Io);
    const auto Result = callOnce(Io, Client, Server.url());
    CHECK(nameOf(Result.Outcome) == nameOf(Row.Outcome));
    if (!Row.Body.empty()) {
      CHECK(Result.Body == Row.Body);
    }
  }
}

// Guards against a request that the client sends twice by itself when a kept
// connection closes, which would run it twice.
TEST_CASE("a request on a kept connection is never repeated") {
  scripted_server Server({{{Ok}, {"", reply::after::Close}}, {{Ok}}});
  asio::io_context Io;
  http_client Client(Io);
  const auto Url = Server.url();
  CHECK(callOnce(Io, Client, Url).Outcome == call_outcome::Complete);
  CHECK(callOnce(Io, Client, Url).Outcome == call_outcome::SentNoAnswer);
  // The next call has a connection of its own.
  CHECK(callOnce(Io, Client, Url).Outcome == call_outcome::Complete);
}

// Guards against an answer that reaches another request: extra answers, extra
// bytes, and connections that must not be used again.
TEST_CASE("an answer reaches only its own call") {
  struct row {
    std::string What;
    std::vector<std::vector<reply>> Script;
  };
  const std::vector<row> Rows = {
      {"an old answer comes first", {{{OkOf6 + OkOf7}}, {{OkOf7}}}},
      {"an old answer comes late", {{{OkOf7 + OkOf6}}, {{OkOf7}}}},
      {"bytes behind the answer", {{{OkOf7 + "garbage"}}, {{OkOf7}}}},
      {"the server closes",
       {{{"HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\n"
          "Content-Length: 2\r\n\r\nok"}},
        {{OkOf7}}}},
      {"a short idle timeout",
       {{{"HTTP/1.1 200 OK\r\nId: 7\r\nKeep-Alive: timeout=0\r\n"
          "Content-Length: 2\r\n\r\nok"}},
        {{OkOf7}}}},
      {"a kept connection", {{{OkOf7}, {OkOf7}}}},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    scripted_server Server(Row.Script);
    asio::io_context Io;
    http_client Client(Io);
    const auto Url = Server.url();
    for (int I = 0; I < 2; ++I) {
      const auto Result = callOnce(Io, Client, Url, "7");
      CHECK(Result.Outcome == call_outcome::Complete);
      CHECK(Result.Body == "ok");
    }
  }
}

// Guards against a call that is said to have been sent although no connection
// was made.
TEST_CASE("a call without a connection sent nothing") {
  asio::io_context Io;
  http_client Client(Io);
  std::string Closed;
  {
    tcp::acceptor Acceptor(Io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Closed =
        "http://127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()) +
        "/";
  }
  CHECK(callOnce(Io, Client, Closed).Outcome == call_outcome::NothingSent);
  CHECK(callOnce(Io, Client, "http://no-address/").Outcome ==
        call_outcome::NothingSent);
}

namespace {

/// A server that answers one request with `Begin` and then with `Repeat` until
/// the client closes, or gives up after `MaxSentBytes`.
class endless_server {
public:
  endless_server(std::string Begin, std::string Repeat, duration Pause)
      : Acceptor(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Thread([this, Begin = std::move(Begin), Repeat = std::move(Repeat),
                Pause] { run(Begin, Repeat, Pause); }) {}
  ~endless_server() { join(); }
  endless_server(const endless_server &) = delete;
  endless_server &operator=(const endless_server &) = delete;

  [[nodiscard]] std::string url() {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port()) + "/x";
  }
  void join() {
    if (Thread.joinable()) {
      Thread.join();
    }
  }

  static constexpr std::size_t MaxSentBytes = std::size_t{256} << 20U;
  /// Valid after `join`.
  std::size_t SentBytes = 0;

private:
  void run(const std::string &Begin, const std::string &Repeat,
           duration Pause) {
    tcp::socket Socket(Io);
    Acceptor.accept(Socket);
    asio::streambuf Buffer;
    asio::error_code Error;
    asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
    asio::write(Socket, asio::buffer(Begin), Error);
    while (!Error && SentBytes < MaxSentBytes) {
      std::this_thread::sleep_for(Pause);
      SentBytes += asio::write(Socket, asio::buffer(Repeat), Error);
    }
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

struct endless_call_result {
  call_outcome Outcome{};
  std::size_t BodyBytes = 0;
};

/// Makes one call to the server and runs the loop until it ends.
endless_call_result callEndless(endless_server &Server, duration Timeout,
                                std::size_t MaxBodyBytes) {
  asio::io_context Io;
  http_client Client(Io);
  endless_call_result Result;
  bool Done = false;
  http_call Call;
  Call.Method = "GET";
  Call.Url = Server.url();
  Call.Timeout = Timeout;
  Call.MaxBodyBytes = MaxBodyBytes;
  Call.IsAnswer = [](const http_headers &Headers) {
    return headerOf(Headers, "Id") == "7";
  };
  Call.OnBody = [&](std::string_view Bytes) {
    Result.BodyBytes += Bytes.size();
  };
  Call.OnDone = [&](call_outcome Outcome) {
    Result.Outcome = Outcome;
    Done = true;
  };
  Client.start(std::move(Call));
  while (!Done) {
    Io.run_one();
  }
  Server.join();
  return Result;
}

std::string repeated(std::string_view Text, std::size_t Count) {
  std::string Bytes;
  for (std::size_t I = 0; I < Count; ++I) {
    Bytes += Text;
  }
  return Bytes;
}

} // namespace

// Guards against a faulty server that sends bytes without end: the call ends,
// its connection is closed, and what is kept of the answer is bounded.
TEST_CASE("a call ends although its server sends bytes without end") {
  struct row {
    std::string What;
    std::string Begin;
    std::string Repeat;
    call_outcome Outcome;
  };
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string Many = std::string(16'000, '1');
  const std::vector<row> Rows = {
      {"status line", "HTTP/1.1 200 ", Many, call_outcome::SentNoAnswer},
      {"no HTTP", "", Many, call_outcome::SentNoAnswer},
      {"one header", "HTTP/1.1 200 OK\r\nA: ", Many,
       call_outcome::SentNoAnswer},
      {"headers", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n", 2'000),
       call_outcome::SentNoAnswer},
      {"interim answers", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 600),
       call_outcome::SentNoAnswer},
      {"answers to other calls", "", repeated(OkOf6, 300),
       call_outcome::SentNoAnswer},
      {"the body of an answer to another call",
       "HTTP/1.1 200 OK\r\nId: 6\r\n\r\n", Many, call_outcome::SentNoAnswer},
      {"chunk size", Chunked, Many, call_outcome::AnswerBroken},
      {"chunk extension", Chunked + "2;", Many, call_outcome::AnswerBroken},
      {"trailer", Chunked + "2\r\nok\r\n0\r\nA: ", Many,
       call_outcome::AnswerBroken},
      {"trailers", Chunked + "2\r\nok\r\n0\r\n", repeated("A: b\r\n", 2'000),
       call_outcome::AnswerBroken},
      {"body without a length", "HTTP/1.1 200 OK\r\nId: 7\r\n\r\n", Many,
       call_outcome::AnswerBroken},
      {"chunks", Chunked, "3e80\r\n" + Many + "\r\n",
       call_outcome::AnswerBroken},
  };
  constexpr std::size_t MaxBodyBytes = std::size_t{1} << 20U;
  // What the client reads, and what the kernel buffers of both sides hold.
  constexpr std::size_t MaxSentBytes = std::size_t{24} << 20U;
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    endless_server Server(Row.Begin, Row.Repeat, duration::zero());
    const auto Result = callEndless(Server, 60s, MaxBodyBytes);
    CHECK(nameOf(Result.Outcome) == nameOf(Row.Outcome));
    CHECK(Result.BodyBytes <= MaxBodyBytes);
    CHECK(Server.SentBytes <= MaxSentBytes);
  }
}

// Guards against heads that take many times their bytes in memory: a head of 80
// KB, the most that the parser takes, can have 13,000 fields.
TEST_CASE("the head of an answer is bounded in fields and bytes") {
  struct row {
    std::string What;
    std::string Fields;
    call_outcome Outcome;
  };
  const std::string Long = "A: " + std::string(60'000, '1') + "\r\n";
  const std::vector<row> Rows = {
      {"190 fields", repeated("A: b\r\n", 190), call_outcome::Complete},
      {"210 fields", repeated("A: b\r\n", 210), call_outcome::SentNoAnswer},
      {"60 KB", Long, call_outcome::Complete},
      {"70 KB", Long + "A: " + std::string(10'000, '1') + "\r\n",
       call_outcome::SentNoAnswer},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    // The client closes, which ends the server's stray bytes.
    endless_server Server("HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\n" +
                              Row.Fields + "Content-Length: 2\r\n\r\nok",
                          "x", 5ms);
    const auto Result = callEndless(Server, 60s, 1'000);
    CHECK(nameOf(Result.Outcome) == nameOf(Row.Outcome));
  }
}

// Guards against a call that outlives its deadline because its server sends a
// byte now and then.
TEST_CASE("a call ends at its deadline although bytes keep coming") {
  struct row {
    std::string What;
    std::string Begin;
  };
  const std::vector<row> Rows = {
      {"in the head", "HTTP/1.1 200 OK\r\nA: "},
      {"in the body", "HTTP/1.1 200 OK\r\nId: 7\r\n\r\n"},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    endless_server Server(Row.Begin, "1", 5ms);
    const auto Result =
        callEndless(Server, 200ms, std::numeric_limits<std::size_t>::max());
    CHECK(nameOf(Result.Outcome) == nameOf(call_outcome::DeadlinePassed));
  }
}
