#ifndef ARBUTUS_BASE_READ_WORK_H
#define ARBUTUS_BASE_READ_WORK_H

#include <cstdint>

namespace arbutus {

/// What a reader has done with bytes that arrived in pieces. A sound reader
/// searches about as many bytes as it receives, whatever the pieces are; one
/// that searches a message anew with each of its pieces searches far more.
struct read_work {
  std::uint64_t ReceivedBytes = 0;
  /// Bytes that were looked at for the end of a message.
  std::uint64_t SearchedBytes = 0;
};

} // namespace arbutus

#endif
