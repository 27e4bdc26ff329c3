#ifndef ARBUTUS_NET_HTTP_SERVER_H
#define ARBUTUS_NET_HTTP_SERVER_H

#include "base/clock.h"
#include "net/body_memory.h"
#include "net/http_exchange.h"
#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace arbutus::net {

struct http_server_options {
  std::string Address;    ///< IP address to listen on
  std::uint16_t Port = 0; ///< shared by all shards through SO_REUSEPORT
  /// Largest body in bytes, asked when the head of a request has arrived. A
  /// longer one that is announced is not read, see `http_request::BodyTooLong`;
  /// one that grows longer closes the connection.
  std::function<std::size_t()> MaxBodyBytes;
  std::size_t HardHeaderFieldLimit = 0; ///< for one header field or the target
  /// With more open connections than this, each is closed after its answer, so
  /// that idle callers do not keep others out; 0 for no limit.
  std::size_t KeepAliveConnectionLimit = 0;
  /// While the event loop is later than this, some new connections get 503
  /// with Retry-After, unread, so that the requests that have been read are
  /// still answered in time; 0 to take all.
  duration ShedLagThreshold = duration::zero();
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// HTTP/1.1 server of one shard. Bodies take from `Bodies`, which other servers
/// of the shard share. The handler runs on the thread that runs the
/// given io_context. Construction throws std::exception when the port cannot
/// be opened.
class http_server {
public:
  http_server(asio::io_context &Io, const http_server_options &Options,
              body_memory &Bodies, http_handler Handler);
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;
  ~http_server();

  /// Stops accepting connections; open ones go on.
  void stopAccepting();

  /// Connections that were answered 503 unread so far, see `ShedLagThreshold`.
  [[nodiscard]] std::uint64_t refused() const noexcept;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace arbutus::net

#endif
