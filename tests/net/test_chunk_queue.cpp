#include "net/chunk_queue.h"
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace arbutus::net;

// Guards against bytes that are lost or change their order, against many small
// chunks that are written one by one, and against a large one that is copied
// together with others.
TEST_CASE("waiting chunks are joined up to the size of a write") {
  constexpr std::size_t WriteBytes = std::size_t{16} << 10U;
  struct row {
    std::string Name;
    std::size_t ChunkBytes;
    std::size_t Chunks;
    std::size_t MaxWrites;
  };
  const std::vector<row> Rows = {
      {"one", 5, 1, 1},
      {"tiny", 3, 100'000, 300'000 / WriteBytes + 1},
      {"over half a write", 9'000, 10, 10},
      {"more than a write", 3 * WriteBytes, 4, 4},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    chunk_queue Queue;
    std::string Expected;
    for (std::size_t I = 0; I < Row.Chunks; ++I) {
      const std::string Chunk(Row.ChunkBytes, static_cast<char>('a' + I % 26));
      Expected += Chunk;
      Queue.push(Chunk);
    }
    CHECK(Queue.bytes() == Expected.size());
    std::string Bytes;
    std::size_t Writes = 0;
    for (; !Queue.empty(); ++Writes) {
      Bytes += Queue.pop();
    }
    CHECK(Bytes == Expected);
    CHECK(Writes <= Row.MaxWrites);
    CHECK(Queue.bytes() == 0);
  }
}
