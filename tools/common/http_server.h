#ifndef ARBUTUS_TOOLS_COMMON_HTTP_SERVER_H
#define ARBUTUS_TOOLS_COMMON_HTTP_SERVER_H

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutus::tools {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request that has been read completely.
struct http_request {
  std::string Method;
  /// Path without the query.
  std::string Path;
  std::string Query;
  std::string Body;
  http_headers Headers;

  /// Value of a header, by a name in any case; empty if it is absent.
  [[nodiscard]] std::string_view header(std::string_view Name) const noexcept;
  /// Value of a query parameter without escapes; empty if it is absent.
  [[nodiscard]] std::string queryValue(std::string_view Name) const;
};

/// The answer to one request. Exactly one of `respond`, `finish` after
/// `startStream`, or `abort` ends it; later calls are ignored.
class http_exchange {
public:
  http_exchange() = default;
  http_exchange(const http_exchange &) = delete;
  http_exchange &operator=(const http_exchange &) = delete;
  virtual ~http_exchange() = default;

  /// Sends a whole answer.
  virtual void respond(int Status, std::string Body, http_headers Headers) = 0;
  void respondJson(int Status, std::string Body, http_headers Headers = {});

  /// Starts a chunked answer; `write` sends one chunk of it at once.
  virtual void startStream(int Status, http_headers Headers) = 0;
  virtual void write(std::string Bytes) = 0;
  virtual void finish() = 0;

  /// Closes the connection without any further byte.
  virtual void abort() = 0;

  /// Called once if the caller's connection closes before the answer's end.
  std::function<void()> OnDisconnect;
};

/// HTTP server with one thread. The handler and all callbacks run on it.
class http_server {
public:
  using handler =
      std::function<void(http_request, const std::shared_ptr<http_exchange> &)>;

  explicit http_server(std::uint16_t Port);
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;
  ~http_server();

  /// Calls `Callback` after `Delay`.
  void callAfter(duration Delay, std::function<void()> Callback);

  /// Listens on 127.0.0.1, prints `listening ADDRESS` and serves until SIGTERM
  /// or SIGINT. Returns the exit status: 0, or 1 if it cannot listen.
  [[nodiscard]] int run(handler Handler);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace arbutus::tools

#endif
