#include "net/body_memory.h"
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace arbutus;
using namespace arbutus::net;

namespace {

constexpr instant Start(100s);
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

/// Connections that send bodies; an evicted one loses its body.
struct senders {
  explicit senders(std::size_t MaxBytes) : Memory(MaxBytes) {}

  std::size_t add() {
    const auto Index = Bodies.size();
    Bodies.push_back(std::make_unique<request_body>(
        Memory, [this, Index] { Bodies[Index] = nullptr; }));
    return Index;
  }
  /// Sends pieces until the body has this size; false if it was refused.
  bool send(std::size_t Index, std::size_t Bytes, std::size_t Piece,
            instant Now = Start) {
    while (Bodies[Index] && Bodies[Index]->size() < Bytes) {
      if (!Bodies[Index]->append(std::string(Piece, 'x'), Now)) {
        Bodies[Index] = nullptr;
        return false;
      }
    }
    return Bodies[Index] != nullptr;
  }
  std::size_t left() const {
    std::size_t Count = 0;
    for (const auto &Body : Bodies) {
      Count += Body ? 1 : 0;
    }
    return Count;
  }

  body_memory Memory;
  std::vector<std::unique_ptr<request_body>> Bodies;
};

} // namespace

// Load: a crowd sends large bodies and stops short of their end. Guards against
// a process that runs out of memory, whatever the pieces are, and against
// bytes that stay counted after their connections.
TEST_CASE("bodies of a crowd stay within the memory") {
  struct row {
    std::string Name;
    std::size_t Crowd;
    std::size_t Bytes;
    std::size_t Piece;
  };
  const std::vector<row> Rows = {
      {"large pieces", 40, 4 * MiB, 64 * KiB},
      {"tiny pieces", 40, 256 * KiB, 2},
      {"small bodies", 2'000, 10 * KiB, KiB},
  };
  constexpr std::size_t MaxBytes = 16 * MiB;
  for (const auto &Row : Rows) {
    CAPTURE(Row.Name);
    senders Senders(MaxBytes);
    for (std::size_t I = 0; I < Row.Crowd; ++I) {
      Senders.send(Senders.add(), Row.Bytes, Row.Piece);
      CHECK(Senders.Memory.usedBytes() <= MaxBytes);
    }
    // An ordinary request still finds room.
    const auto Ordinary = Senders.add();
    CHECK(Senders.send(Ordinary, 100, 100));
    Senders.Bodies.clear();
    CHECK(Senders.Memory.usedBytes() == 0);
  }
}

// Guards against a small request that just came and is refused for large ones,
// and against the end of a request that is being served.
TEST_CASE("the largest and slowest unfinished body gives way") {
  senders Senders(6 * MiB);
  const auto Served = Senders.add();
  const auto Slow = Senders.add();
  const auto Fast = Senders.add();
  REQUIRE(Senders.send(Served, 2 * MiB, 64 * KiB));
  Senders.Bodies[Served]->complete();
  REQUIRE(Senders.send(Slow, MiB, 64 * KiB, Start));
  REQUIRE(Senders.send(Fast, MiB, 64 * KiB, Start + 5s));
  const auto Next = Senders.add();
  REQUIRE(Senders.send(Next, MiB, 64 * KiB, Start + 6s));
  CHECK(Senders.Bodies[Served]);
  CHECK_FALSE(Senders.Bodies[Slow]);
  CHECK(Senders.Bodies[Fast]);
  CHECK(Senders.Memory.evicted() == 1);
}

// Guards against a single request inside the limits that is refused in calm,
// and against bodies that are kept with more memory than they announce.
TEST_CASE("a single body of three eighths of the memory finds room") {
  struct row {
    std::size_t Announced;
    std::size_t Piece;
  };
  const std::vector<row> Rows = {{0, 64 * KiB}, {6 * MiB, 64 * KiB}, {0, KiB}};
  for (const auto &Row : Rows) {
    CAPTURE(Row.Announced, Row.Piece);
    senders Senders(16 * MiB);
    const auto Only = Senders.add();
    Senders.Bodies[Only]->setAnnouncedBytes(Row.Announced);
    REQUIRE(Senders.send(Only, 6 * MiB, Row.Piece));
    if (Row.Announced != 0) {
      CHECK(Senders.Memory.usedBytes() == Row.Announced);
    }
    CHECK(Senders.Memory.refused() == 0);
  }
}

// Load: a crowd fills the memory, and each new body takes the place of another
// one. Guards against a router that looks at all open bodies for each new one.
TEST_CASE("the search for the body that gives way does not grow with a crowd") {
  constexpr std::size_t BodyBytes = 512;
  constexpr std::size_t NewBodies = 1'000;
  for (const std::size_t Crowd : {500, 4'000}) {
    CAPTURE(Crowd);
    senders Senders(Crowd * BodyBytes);
    for (std::size_t I = 0; I < Crowd + NewBodies; ++I) {
      const instant Now = Start + std::chrono::milliseconds(I);
      REQUIRE(Senders.send(Senders.add(), BodyBytes, BodyBytes, Now));
    }
    CHECK(Senders.Memory.evicted() == NewBodies);
    // Each body that makes progress may be looked at once more.
    CHECK(Senders.Memory.examined() <= Crowd + 2 * NewBodies);
    CHECK(Senders.left() == Crowd);
  }
}
