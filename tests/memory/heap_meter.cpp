#include "heap_meter.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

/// Header of a block of the C library.
constexpr std::size_t BlockHeaderBytes = 8;

std::atomic<std::size_t> UsedBytes = 0;
std::atomic<std::size_t> PeakBytes = 0;
std::atomic<std::size_t> AllocatedBytes = 0;

std::size_t blockBytes(void *Block) {
  return malloc_usable_size(Block) + BlockHeaderBytes;
}

} // namespace

void *operator new(std::size_t Size) {
  void *Block = std::malloc(Size == 0 ? 1 : Size);
  if (Block == nullptr) {
    throw std::bad_alloc();
  }
  const std::size_t Bytes = blockBytes(Block);
  AllocatedBytes += Bytes;
  const std::size_t Now = UsedBytes += Bytes;
  std::size_t Peak = PeakBytes.load();
  while (Now > Peak && !PeakBytes.compare_exchange_weak(Peak, Now)) {
  }
  return Block;
}

void operator delete(void *Block) noexcept {
  if (Block != nullptr) {
    UsedBytes -= blockBytes(Block);
  }
  std::free(Block);
}

void operator delete(void *Block, std::size_t /*Size*/) noexcept {
  operator delete(Block);
}

namespace arbutus::tests {

heap_use heapUse(const std::function<void()> &Run) {
  const std::size_t UsedBefore = UsedBytes.load();
  const std::size_t AllocatedBefore = AllocatedBytes.load();
  PeakBytes = UsedBefore;
  Run();
  const std::size_t Used = UsedBytes.load();
  return {PeakBytes.load() - UsedBefore,
          AllocatedBytes.load() - AllocatedBefore,
          Used - std::min(Used, UsedBefore)};
}

std::size_t peakHeapBytes(const std::function<void()> &Run) {
  return heapUse(Run).Peak;
}

} // namespace arbutus::tests
