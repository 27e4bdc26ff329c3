#ifndef ARBUTUS_TESTS_NET_LOOPBACK_H
#define ARBUTUS_TESTS_NET_LOOPBACK_H

#include "net/http_server.h"
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::tests {

/// A port that was free a moment ago.
inline std::uint16_t freePort() {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  REQUIRE(bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), Length) ==
          0);
  REQUIRE(getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                      &Length) == 0);
  close(Descriptor);
  return ntohs(Address.sin_port);
}

inline int connectTo(std::uint16_t Port) {
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  To.sin_port = htons(Port);
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(Descriptor >= 0);
  REQUIRE(connect(Descriptor, reinterpret_cast<sockaddr *>(&To), sizeof(To)) ==
          0);
  return Descriptor;
}

/// Runs the event loop until the connection gets bytes or ends; false after a
/// deadline that only a broken build reaches.
inline bool answered(asio::io_context &Io, int Descriptor,
                     std::string *Answer = nullptr) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < Deadline) {
    Io.run_for(std::chrono::milliseconds(5));
    pollfd Poll{Descriptor, POLLIN, 0};
    if (poll(&Poll, 1, 0) == 1) {
      std::array<char, 512> Bytes{};
      const auto Count = read(Descriptor, Bytes.data(), Bytes.size());
      if (Answer != nullptr && Count > 0) {
        Answer->assign(Bytes.data(), static_cast<std::size_t>(Count));
      }
      return Count > 0;
    }
  }
  return false;
}

inline void ask(int Descriptor) {
  const std::string_view Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(write(Descriptor, Request.data(), Request.size()) ==
          static_cast<ssize_t>(Request.size()));
}

inline net::http_server_options optionsFor(std::uint16_t Port) {
  net::http_server_options Options;
  Options.Address = "127.0.0.1";
  Options.Port = Port;
  Options.MaxBodyBytes = [] { return std::size_t{1} << 20U; };
  Options.HardHeaderFieldLimit = 1U << 14U;
  return Options;
}

} // namespace arbutus::tests

#endif
