#ifndef ARBUTUS_TESTS_MEMORY_HEAP_METER_H
#define ARBUTUS_TESTS_MEMORY_HEAP_METER_H

#include <cstddef>
#include <functional>

namespace arbutus::tests {

/// Heap that a function took, with the headers of its blocks.
struct heap_use {
  std::size_t Peak = 0;      ///< bytes at once beyond what was in use before it
  std::size_t Allocated = 0; ///< bytes of all blocks, also of freed ones
  std::size_t Kept = 0;      ///< bytes that are still in use behind it
};

/// Runs a function and counts its use of `operator new`.
[[nodiscard]] heap_use heapUse(const std::function<void()> &Run);

/// Bytes of heap that a function takes at once beyond what was in use before
/// it, with the headers of its blocks. Counts `operator new` of this program.
[[nodiscard]] std::size_t peakHeapBytes(const std::function<void()> &Run);

} // namespace arbutus::tests

#endif
