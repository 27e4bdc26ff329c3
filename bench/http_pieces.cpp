// Measures the HTTP server with requests and answers that come in tiny pieces,
// over loopback: processor time of the event loop for a byte while the number
// of bytes doubles. It stays flat in a sound server. Prints one JSON object a
// row.

#include "net/http_server.h"
#include "thread_time.h"
#include <arpa/inet.h>
#include <asio/post.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

using namespace arbutus;
using bench::threadSeconds;
using namespace arbutus::net;

namespace {

constexpr std::size_t KiB = 1024;
constexpr int Sizes = 4;

int connectTo(std::uint16_t Port) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  To.sin_port = htons(Port);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    std::perror("connect");
    std::exit(1);
  }
  return Socket;
}

/// Sends bytes in pieces. The server may close the connection first.
void sendPieces(int Socket, std::string_view Bytes, std::size_t Piece) {
  for (std::size_t At = 0; At < Bytes.size(); At += Piece) {
    const auto Part = Bytes.substr(At, Piece);
    if (send(Socket, Part.data(), Part.size(), MSG_NOSIGNAL) <= 0) {
      return;
    }
  }
}

/// Reads until the connection ends or its bytes end like this.
void receiveUntil(int Socket, std::string_view End) {
  std::string Last;
  std::array<char, 64 * KiB> Bytes{};
  for (;;) {
    const auto Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0) {
      return;
    }
    Last.append(Bytes.data(), static_cast<std::size_t>(Count));
    if (Last.ends_with(End)) {
      return;
    }
    Last.erase(0, Last.size() - std::min(Last.size(), End.size()));
  }
}

/// What is measured: a request and its answer.
struct http_case {
  std::string Name;
  std::size_t MaxBytes;
  /// What the caller sends for a number of bytes.
  std::function<std::string(std::size_t)> Request;
  std::size_t Piece;
  /// Answers, with a number of bytes.
  std::function<void(http_exchange &, std::size_t)> Answer;
  std::string_view AnswerEnd;
};

constexpr std::string_view Head = "POST / HTTP/1.1\r\nHost: x\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(std::string_view Part, std::size_t Count) {
  std::string Text;
  for (std::size_t I = 0; I < Count; ++I) {
    Text += Part;
  }
  return Text;
}

void answerOk(http_exchange &Exchange, std::size_t /*Bytes*/) {
  Exchange.respond({200, {}, "ok"});
}

/// Streams tiny events before the caller reads any of them.
void streamEvents(http_exchange &Exchange, std::size_t Bytes) {
  Exchange.beginStream(200, {});
  for (std::size_t I = 0; I < Bytes / 3; ++I) {
    Exchange.writeChunk("a\n\n");
  }
  Exchange.endStream();
}

const std::array<http_case, 5> Cases = {{
    {"head, one field in pieces of a byte", 32 * KiB,
     [](std::size_t Bytes) {
       return "GET / HTTP/1.1\r\nName: " + std::string(Bytes, 'x') + "\r\n\r\n";
     },
     1, answerOk, "ok"},
    {"head, one field in whole buffers", 32 * KiB,
     [](std::size_t Bytes) {
       return "GET / HTTP/1.1\r\nName: " + std::string(Bytes, 'x') + "\r\n\r\n";
     },
     16 * KiB, answerOk, "ok"},
    {"body, chunks of a byte", 512 * KiB,
     [](std::size_t Bytes) {
       return std::string(Head) + repeated("1\r\nx\r\n", Bytes) + "0\r\n\r\n";
     },
     16 * KiB, answerOk, "ok"},
    {"trailer, one field in pieces of a byte", 16 * KiB,
     [](std::size_t Bytes) {
       return std::string(Head) +
              "1\r\nx\r\n0\r\nName: " + std::string(Bytes, 'x') + "\r\n\r\n";
     },
     1, answerOk, "ok"},
    {"answer, events of three bytes", 1024 * KiB,
     [](std::size_t) { return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"; }, 16 * KiB,
     streamEvents, "0\r\n\r\n"},
}};

/// Returns the processor time of the event loop for one request.
double loopSeconds(const http_case &Case, std::size_t Bytes,
                   std::uint16_t Port) {
  asio::io_context Io;
  body_memory Bodies(64 * KiB * KiB);
  http_server_options Options;
  Options.Address = "127.0.0.1";
  Options.Port = Port;
  Options.MaxBodyBytes = [] { return 16 * KiB * KiB; };
  Options.HardHeaderFieldLimit = 64 * KiB;
  http_server Server(Io, Options, Bodies, [&](const auto &Exchange) {
    Case.Answer(*Exchange, Bytes);
  });
  const auto Request = Case.Request(Bytes);
  std::thread Caller([&] {
    const int Socket = connectTo(Port);
    sendPieces(Socket, Request, Case.Piece);
    receiveUntil(Socket, Case.AnswerEnd);
    close(Socket);
    asio::post(Io, [&Io] { Io.stop(); });
  });
  const double Start = threadSeconds();
  Io.run();
  const double Seconds = threadSeconds() - Start;
  Caller.join();
  return Seconds;
}

} // namespace

/// Usage: bench_http_pieces [PORT]
int main(int Argc, char **Argv) {
  constexpr int DefaultPort = 18080;
  const auto Port =
      static_cast<std::uint16_t>(Argc > 1 ? std::atoi(Argv[1]) : DefaultPort);
  for (const auto &Case : Cases) {
    for (int I = Sizes - 1; I >= 0; --I) {
      const std::size_t Bytes = Case.MaxBytes >> static_cast<unsigned>(I);
      const double Seconds = loopSeconds(Case, Bytes, Port);
      std::printf("{\"case\": \"%s\", \"bytes\": %zu, \"ns_a_byte\": %.1f}\n",
                  Case.Name.c_str(), Bytes,
                  Seconds * 1e9 / static_cast<double>(Bytes));
      std::fflush(stdout);
    }
  }
}
