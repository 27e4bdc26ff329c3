#include "cli/http_transport.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace arbutus;
using namespace arbutus::cli;

namespace {

using tcp = asio::ip::tcp;

/// Sends a write to a server that answers these bytes as soon as it has the
/// head of the request, and then resets or closes the connection.
api_response writeTo(const std::string &Answer, bool Reset, std::string Body) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
  constexpr int WindowBytes = 4096;
  Acceptor.set_option(asio::socket_base::receive_buffer_size(WindowBytes));
  std::thread Server([&] {
    tcp::socket Socket(Io);
    Acceptor.accept(Socket);
    asio::streambuf Buffer;
    asio::error_code Error;
    asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
    asio::write(Socket, asio::buffer(Answer), Error);
    if (Reset) {
      Socket.set_option(asio::socket_base::linger(true, 0), Error);
    }
    Socket.close(Error);
  });
  auto Response = curlTransport("key")(
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()),
      {"PUT", "/api/v1/team/a", std::move(Body), "r1"});
  Server.join();
  return Response;
}

} // namespace

// Guards against an operator who is told that a write was carried out or
// rejected, although the bytes that came back are no answer or only a part.
TEST_CASE("a broken answer counts as a lost one") {
  struct row {
    std::string What;
    std::string Answer;
    bool Reset = false;
    std::string Body = "{}";
  };
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Rest = "Content-Length: 2\r\n\r\n{}";
  const std::string LongBody(std::size_t{16} << 20U, ' ');
  const std::vector<row> Rows = {
      {"status 000", "HTTP/1.1 000 X\r\n" + Rest},
      {"status 099", "HTTP/1.1 099 X\r\n" + Rest},
      {"status 600", "HTTP/1.1 600 X\r\n" + Rest},
      {"status 999", "HTTP/1.1 999 X\r\n" + Rest},
      {"a blank in a name", Ok + "My Name: a\r\n" + Rest},
      {"a blank behind a name", Ok + "Content-Length : 2\r\n\r\n{}"},
      {"a blank before a name", Ok + "A: b\r\n Name: a\r\n" + Rest},
      {"a control byte in a name", Ok + "My\x01Name: a\r\n" + Rest},
      {"a zero byte in a name",
       Ok + "My" + std::string(1, 0) + "Name: a\r\n" + Rest},
      {"in the head of an interim answer",
       "HTTP/1.1 103 X\r\nMy Name: a\r\n\r\n" + Ok + Rest},
      {"cut inside the body", Ok + "Content-Length: 9\r\n\r\n{}"},
      {"no length, reset", Ok + "\r\n{}", true},
      {"no length, reset during the upload", Ok + "\r\n{}", true, LongBody},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.What);
    const auto Response = writeTo(Row.Answer, Row.Reset, Row.Body);
    CHECK(Response.Delivery == delivery_status::ResponseLost);
    CHECK_FALSE(Response.Reason.empty());
  }
}

// Guards against a sound answer that is taken for a broken one.
TEST_CASE("a sound answer is delivered") {
  const std::vector<std::string> Rows = {
      "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\n\r\n{}",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: b\r\n\r\n",
  };
  for (const auto &Answer : Rows) {
    CAPTURE(Answer);
    const auto Response = writeTo(Answer, false, "{}");
    CHECK(Response.Delivery == delivery_status::Completed);
    CHECK(Response.Status == 200);
    CHECK(Response.Body == "{}");
  }
}
