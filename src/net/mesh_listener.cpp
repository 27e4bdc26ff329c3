#include "net/mesh_listener.h"

#include "base/log.h"
#include <asio/buffer.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace arbutus::net::impl {

namespace {

/// Bytes that are read at once.
constexpr std::size_t ReadBytes = std::size_t{64} << 10U;
/// A peer that a partition hides leaves its connection open here; probes after
/// this much silence, every few seconds, find that and free the descriptor.
constexpr int KeepAliveIdleSeconds = 15;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;

using keep_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_probes =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// Sets what a connection can do without: a failure only keeps a dead
/// connection open for longer.
void probeWhenSilent(asio::ip::tcp::socket &Socket) {
  asio::error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(keep_idle(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(keep_interval(KeepAliveIntervalSeconds), Ignored);
  Socket.set_option(keep_probes(KeepAliveProbes), Ignored);
}

} // namespace

struct mesh_listener::incoming {
  explicit incoming(asio::ip::tcp::socket Socket) : Socket(std::move(Socket)) {}

  asio::ip::tcp::socket Socket;
  frame_stream Stream;
  bool HasFrames = false;
};

mesh_listener::mesh_listener(asio::io_context &Io,
                             const asio::ip::tcp::endpoint &At,
                             frame_receiver OnFrame,
                             std::function<void()> OnTooLong)
    : Acceptor(Io, At, false,
               [this](asio::ip::tcp::socket Socket) {
                 onAccepted(std::move(Socket));
               }),
      OnFrame(std::move(OnFrame)), OnTooLong(std::move(OnTooLong)),
      Buffer(ReadBytes) {}

std::string mesh_listener::address() const {
  const auto At = Acceptor.endpoint();
  return At.address().to_string() + ":" + std::to_string(At.port());
}

void mesh_listener::onAccepted(asio::ip::tcp::socket Socket) {
  asio::error_code Error;
  Socket.non_blocking(true, Error);
  if (Error) {
    logEvent(log_level::Warning, "accept_failed",
             {{"reason", Error.message()}});
    return;
  }
  probeWhenSilent(Socket);
  waitReadable(std::make_shared<incoming>(std::move(Socket)));
}

void mesh_listener::waitReadable(const std::shared_ptr<incoming> &From) {
  From->Socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [this, From](const asio::error_code &Error) {
                            if (!Error && readSome(*From)) {
                              waitReadable(From);
                            }
                          });
}

bool mesh_listener::readSome(incoming &From) {
  asio::error_code Error;
  const std::size_t Count = From.Socket.read_some(asio::buffer(Buffer), Error);
  if (Error) {
    return Error == asio::error::would_block;
  }
  const auto Receive = [this, &From](std::string_view Frame) {
    OnFrame(Frame, !std::exchange(From.HasFrames, true));
  };
  if (!feedFrames(From.Stream, {Buffer.data(), Count}, Receive)) {
    OnTooLong();
    return false;
  }
  return true;
}

} // namespace arbutus::net::impl
