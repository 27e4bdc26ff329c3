#ifndef ARBUTUS_NET_HTTP_CLIENT_H
#define ARBUTUS_NET_HTTP_CLIENT_H

#include "net/http_call.h"
#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace arbutus::net {

enum class call_id : std::uint64_t {};

/// HTTP/1.1 client of one shard: many concurrent calls over kept-alive
/// connections. Use it from the thread that runs the io_context only.
class http_client {
public:
  explicit http_client(asio::io_context &Io);
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;
  ~http_client();

  /// Starts a call. `OnDone` is never called from inside `start`.
  call_id start(http_call Call);

  /// Ends a call and closes its connection. `OnDone(Outcome)` follows, from the
  /// event loop: `AnswerBroken` if the answer is not acceptable. Unknown ids
  /// are ignored.
  void cancel(call_id Id, call_outcome Outcome = call_outcome::Cancelled);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace arbutus::net

#endif
