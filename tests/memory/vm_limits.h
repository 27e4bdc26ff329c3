#ifndef ARBUTUS_TESTS_MEMORY_VM_LIMITS_H
#define ARBUTUS_TESTS_MEMORY_VM_LIMITS_H

#include "base/json_reader.h"
#include "control/memory_limits.h"
#include "settings/settings.h"

#include <cstddef>
#include <cstdint>

namespace arbutus::tests {

/// Memory of the smallest VM that a deployment has, in megabytes.
inline constexpr std::uint64_t SmallestVmMegabytes = 88;
inline constexpr std::size_t SmallestVmBytes = SmallestVmMegabytes * 1'000'000;

/// Limits of a process on a VM, while this lives.
struct vm_limits {
  explicit vm_limits(std::uint64_t Megabytes = SmallestVmMegabytes) {
    settings::limit_settings Limits;
    Limits.MemoryMegabytes = Megabytes;
    setJsonMemory(control::jsonMemoryBytes(Limits, 1));
  }
  vm_limits(const vm_limits &) = delete;
  vm_limits &operator=(const vm_limits &) = delete;
  ~vm_limits() { setJsonMemory(DefaultJsonMemoryBytes); }
};

} // namespace arbutus::tests

#endif
