#ifndef ARBUTUS_TESTS_MEMORY_HEAP_METER_H
#define ARBUTUS_TESTS_MEMORY_HEAP_METER_H

#include <cstddef>
#include <functional>

namespace arbutus::tests {

/// Bytes of heap that a function takes at once beyond what was in use before
/// it, with the headers of its blocks. Counts `operator new` of this program.
[[nodiscard]] std::size_t peakHeapBytes(const std::function<void()> &Run);

} // namespace arbutus::tests

#endif
