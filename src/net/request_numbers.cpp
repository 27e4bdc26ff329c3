#include "net/request_numbers.h"

#include <random>

namespace arbutus::net {

std::uint64_t randomSequenceStart() {
  std::random_device Random;
  const std::uint64_t High = Random();
  // The highest bit stays free for the numbers that follow.
  return ((High << 32U) | Random()) >> 1U;
}

} // namespace arbutus::net
