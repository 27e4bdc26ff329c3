#ifndef ARBUTUS_NET_CHUNK_QUEUE_H
#define ARBUTUS_NET_CHUNK_QUEUE_H

#include <cstddef>
#include <deque>
#include <string>

namespace arbutus::net {

/// Bytes of a streamed answer that wait until its connection has taken the ones
/// before them. Small chunks are joined, so that the memory of what waits is in
/// proportion to its bytes, however many chunks these were.
class chunk_queue {
public:
  void push(std::string Chunk);

  /// Removes the oldest bytes and returns them as one chunk. The queue must not
  /// be empty.
  [[nodiscard]] std::string pop();

  void clear() noexcept;

  [[nodiscard]] bool empty() const noexcept { return Chunks.empty(); }
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }

private:
  std::deque<std::string> Chunks;
  std::size_t Bytes = 0;
};

} // namespace arbutus::net

#endif
