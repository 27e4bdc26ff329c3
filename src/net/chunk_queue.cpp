#include "net/chunk_queue.h"

#include <utility>

namespace arbutus::net {

namespace {

/// Chunks are joined up to this size. One write takes that much with little
/// more work than a few bytes.
constexpr std::size_t MaxJoinedBytes = std::size_t{16} << 10U;

} // namespace

void chunk_queue::push(std::string Chunk) {
  Bytes += Chunk.size();
  if (!Chunks.empty() &&
      Chunks.back().size() + Chunk.size() <= MaxJoinedBytes) {
    Chunks.back() += Chunk;
  } else {
    Chunks.push_back(std::move(Chunk));
  }
}

std::string chunk_queue::pop() {
  std::string Chunk = std::move(Chunks.front());
  Chunks.pop_front();
  Bytes -= Chunk.size();
  return Chunk;
}

void chunk_queue::clear() noexcept {
  Chunks.clear();
  Bytes = 0;
}

} // namespace arbutus::net
