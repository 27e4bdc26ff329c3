#ifndef ARBUTUS_NET_HTTP_EXCHANGE_H
#define ARBUTUS_NET_HTTP_EXCHANGE_H

#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <string>

namespace arbutus::net {

/// A caller that is this many bytes behind its stream is treated as gone.
inline constexpr std::size_t MaxUnsentBytes = std::size_t{1} << 20U;

/// One request and its answer. All calls are made on the shard's thread.
/// Exactly one of `respond` or `beginStream`...`endStream` is used. Calls after
/// the caller has gone are ignored.
class http_exchange {
public:
  http_exchange() = default;
  http_exchange(const http_exchange &) = delete;
  http_exchange &operator=(const http_exchange &) = delete;
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const http_request &request() const noexcept = 0;

  /// Moves the body out; `request().Body` is empty afterwards.
  [[nodiscard]] virtual std::string takeBody() = 0;

  /// Sends the whole answer.
  virtual void respond(http_response Response) = 0;

  /// Starts a chunked answer. Its head is sent with the first chunk.
  virtual void beginStream(int Status, const http_headers &Headers) = 0;

  /// Sends bytes of the chunked answer: at once if the caller's connection has
  /// taken all before them, else joined with others as soon as it has.
  virtual void writeChunk(std::string Chunk) = 0;

  /// Bytes of the chunked answer that the caller's connection has not taken
  /// yet. The memory that they take is in proportion to them.
  [[nodiscard]] virtual std::size_t unsentBytes() const noexcept = 0;

  /// Ends the chunked answer.
  virtual void endStream() = 0;

  /// Ends a begun answer by closing the connection, so that the caller sees
  /// that it is incomplete.
  virtual void abort() = 0;

  /// True once an answer was begun or sent.
  [[nodiscard]] virtual bool answered() const noexcept = 0;

  /// Registers what to do when the caller disconnects before the answer's end.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

} // namespace arbutus::net

#endif
