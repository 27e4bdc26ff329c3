#ifndef ARBUTUS_ROUTER_SHARD_H
#define ARBUTUS_ROUTER_SHARD_H

#include "net/answer_buffer.h"
#include "net/body_memory.h"
#include "net/http_client.h"
#include "net/stall_detector.h"
#include "router/address_ranker.h"
#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace arbutus::router {

struct routed_request;

/// Bytes of answers that a shard keeps at once unless the settings say less.
inline constexpr std::size_t DefaultAnswerMemoryBytes = std::size_t{16} << 20U;
/// Bytes of request bodies, likewise.
inline constexpr std::size_t DefaultBodyMemoryBytes = std::size_t{256} << 20U;

/// One I/O thread's event loop and its upstream connections. A request stays
/// on the shard that accepted it.
struct shard {
  explicit shard(int Index,
                 std::size_t AnswerMemoryBytes = DefaultAnswerMemoryBytes,
                 std::size_t BodyMemoryBytes = DefaultBodyMemoryBytes)
      : Index(Index), Bodies(BodyMemoryBytes), Io(1),
        Answers(AnswerMemoryBytes), Client(Io), Stalls(Io) {}

  int Index;
  /// Declared first: whatever the event loop still holds may own a body.
  net::body_memory Bodies;
  asio::io_context Io;
  /// Declared before the client, whose calls hold answers.
  net::answer_memory Answers;
  net::http_client Client;
  net::stall_detector Stalls;
  /// All routers use the same seed, so that each gives a caller the same order.
  address_ranker Addresses{0};
  /// Requests that started on this shard; ended ones are removed when the size
  /// reaches `NextCleanup`.
  std::vector<std::weak_ptr<routed_request>> Requests;
  std::size_t NextCleanup = 64;
};

} // namespace arbutus::router

#endif
